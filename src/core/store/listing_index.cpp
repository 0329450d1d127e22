#include "core/store/listing_index.hpp"

#include <utility>

namespace cranemoor::core {

ListingChange ListingIndex::put(const std::string& key, const Json& jobs) {
    ListingChange change;
    JobListing uids;
    JobListing& listing = listings_[key];
    for (const auto& job : jobs) {
        auto uid = job.at("uid").get<std::string>();
        uids.insert(uid);
        if (listing.erase(uid) == 0 && ++listing_counts_[uid] == 1) {
            change.added.push_back(&job);
        }
    }
    std::swap(uids, listing);
    for (const auto& uid : uids) {  // after the swap: those that only the earlier value listed
        if (--listing_counts_[uid] == 0) {
            listing_counts_.erase(uid);
            change.removed.push_back(uid);
        }
    }
    return change;
}

std::vector<std::string> ListingIndex::drop(const std::string& key) {
    auto removed = put(key, Json::array()).removed;
    listings_.erase(key);
    bytes_.erase(key);
    return removed;
}

std::size_t ListingIndex::bytes(const std::string& key) const {
    auto it = bytes_.find(key);
    return it == bytes_.end() ? 0 : it->second;
}

}  // namespace cranemoor::core

/// ListingIndex: which records list which jobs. Jobs of one block that were accepted together share
/// a record.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/store/record_codec.hpp"

namespace cranemoor::core {

/// The uids of the jobs that one record lists.
using JobListing = std::set<std::string>;

/// Which jobs became listed or unlisted when a listing record changed.
struct ListingChange {
    std::vector<const Json*> added;    ///< jobs that no record listed before, in record order
    std::vector<std::string> removed;  ///< uids that no record lists any longer
};

/// Index of the records that list several jobs. `JobStore` maintains it.
class ListingIndex {
  public:
    /// Replaces the jobs that a record lists. `ListingChange::added` points into `jobs`.
    ListingChange put(const std::string& key, const Json& jobs);
    /// Removes a deleted record. Returns the uids that no record lists any longer.
    std::vector<std::string> drop(const std::string& key);
    /// Stores the size of a record's value, in bytes.
    void set_bytes(const std::string& key, std::size_t bytes) { bytes_[key] = bytes; }

    /// The jobs that each record lists, by key of the record.
    const std::map<std::string, JobListing>& listings() const { return listings_; }
    /// Size of a record's value in bytes; 0 if it is unknown.
    std::size_t bytes(const std::string& key) const;
    /// Whether any record lists the job.
    bool is_listed(const std::string& uid) const { return listing_counts_.contains(uid); }

  private:
    std::map<std::string, JobListing> listings_;
    std::unordered_map<std::string, std::size_t> bytes_;
    std::unordered_map<std::string, int> listing_counts_;  // records that list a job, by uid
};

}  // namespace cranemoor::core

// Which records list which jobs: jobs of one block that were accepted together share a record.
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

/// What a new value of a listing changes.
struct ListingChange {
    std::vector<const Json*> added;    ///< jobs that no record listed before, in the record's order
    std::vector<std::string> removed;  ///< jobs that no record lists any more
};

/// Index of the records that list several jobs. `JobStore` keeps it.
class ListingIndex {
  public:
    /// Takes in the jobs of a record in place of its earlier value. The result points into `jobs`.
    ListingChange put(const std::string& key, const Json& jobs);
    /// Takes in that a record was deleted. Returns the jobs that no record lists any more.
    std::vector<std::string> drop(const std::string& key);
    /// Notes the size of a record's value, in bytes.
    void set_bytes(const std::string& key, std::size_t bytes) { bytes_[key] = bytes; }

    /// All listings, by key.
    const std::map<std::string, JobListing>& listings() const { return listings_; }
    /// The size of a record's value in bytes, 0 if it is unknown.
    std::size_t bytes(const std::string& key) const;
    /// Whether any record lists the job.
    bool has(const std::string& uid) const { return count_.contains(uid); }

  private:
    std::map<std::string, JobListing> listings_;
    std::unordered_map<std::string, std::size_t> bytes_;
    std::unordered_map<std::string, int> count_;  // listings that name a job, by uid
};

}  // namespace cranemoor::core

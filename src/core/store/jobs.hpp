// Jobs: this controller's copy of the durable records, brought up to date by the watch.
// It holds every key below c/ as of one revision; nothing else in the core keeps durable facts.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "admission/table.hpp"
#include "core/model/actions.hpp"
#include "core/model/constants.hpp"
#include "core/store/records.hpp"

namespace cranemoor::core {

struct Job {
    JobSpec spec;
    Revision revision = 0;    // of the record that lists it; 0: blocks arrived before it
    bool own_record = false;  // c/j, else it shares one with others; see Jobs::alive
    double submitted_wall = 0;
    int block_size = 0;             // tasks of a block, or of a page
    double own_cancelled_wall = 0;  // as its own record says
    // spec has the highest priority of those that need it, if that is higher than its own.
    Priority own_priority = Priority::normal;
    bool waiting = false;  // for jobs that it follows
    int follow_parts = 0;
    double ready_wall = 0;
    // Of a job with pages: its block records, which stay as they are, and the revisions of the
    // pages that are there. blocks then holds what is true of each page's tasks.
    int page_size = 0;
    int record_size = 0;
    std::map<int, Block> whole;
    std::map<int, Revision> pages;
    bool cancelled = false;
    double cancelled_wall = 0;
    std::optional<Finished> final;
    Revision final_at = 0;
    std::map<int, Block> blocks;
    // running totals over the blocks, kept by Jobs
    int done_total = 0;
    int placed_total = 0;
    int fails = 0;  // the most of any block

    int block_count() const { return (spec.tasks + block_size - 1) / block_size; }
    // Block records, whose pages share the rules of placement.
    int record_count() const {
        int size = page_size > 0 ? record_size : block_size;
        return (spec.tasks + size - 1) / size;
    }
    int block_of(int task) const { return task / block_size; }
    int block_first(int block) const { return block * block_size; }
    int block_last(int block) const { return std::min(spec.tasks, (block + 1) * block_size) - 1; }
    const Block& block(int index) const;
    int done() const { return done_total; }
    int placed() const { return placed_total; }
    bool complete() const { return done() == spec.tasks; }
    // Since when it may run, which is what it is as old as.
    double came_wall() const { return ready_wall > 0 ? ready_wall : submitted_wall; }
    JobRecord record() const;
    // The record that holds the final state, and others, as key and revision.
    const Block& first_record() const;
    std::vector<std::pair<std::string, Revision>> other_records() const;
    // The record that a change of a block is written to.
    std::string block_key(int block) const;
    // Adds the change of a block to a transaction.
    void add_block(int block, const Block& next, Txn& txn) const;
    // Failed again after another try: its user's mistake is likelier than a second bad machine.
    bool doubtful() const { return fails >= constants::job_fails_doubtful; }
    // A gang whose attempt is to be stopped whole, by all owners at once, so that it saves.
    bool stopping() const {
        const Block& first = block(0);
        return spec.kind == JobKind::gang && first.stop != 0 && first.stop == first.attempt &&
               placed_total > 0;
    }
    // Visits all tasks with a place as (task, placement), until the visitor returns false.
    template <typename Visit>
    void each_placement(Visit visit) const {
        for (const auto& [k, b] : blocks) {
            for (const auto& [task, p] : b.placed) {
                if (!visit(task, p)) {
                    return;
                }
            }
        }
    }
    std::optional<int> first_open(int block) const;  // a task neither placed nor done
    int open() const { return spec.tasks - done() - placed(); }
};

class Jobs {
  public:
    // Listing replaces everything; events follow in order of revision.
    void begin_load();
    void load(const std::vector<Event>& items);
    void end_load(Revision revision);
    void apply(const Event& event);
    void advance(Revision revision) { revision_ = std::max(revision_, revision); }

    bool loaded() const { return loaded_; }
    // How often everything was read anew: what is kept of an earlier copy names jobs that are no
    // more.
    std::uint64_t loads() const { return loads_; }
    Revision revision() const { return revision_; }
    Revision revision_of(const std::string& key) const;

    const std::optional<Epoch>& epoch() const { return epoch_; }
    const std::map<std::string, Member>& member_keys() const { return member_keys_; }
    const std::unordered_map<std::string, Job>& jobs() const { return jobs_; }
    // A job that is not over, or none.
    const Job* find(const std::string& uid) const;
    // The final state of a job whose records are still here.
    const Finished* finished(const std::string& uid) const;
    // What must hold for a change to the work of a job that this copy takes for alive.
    std::vector<Condition> alive(const Job& job) const;
    // Records of jobs accepted together, by key.
    using Listing = std::set<std::string>;
    const std::map<std::string, Listing>& listings() const { return listings_; }
    std::size_t listing_bytes(const std::string& key) const {
        auto it = listing_bytes_.find(key);
        return it == listing_bytes_.end() ? 0 : it->second;
    }
    // Jobs that are over and whose records may be moved away, oldest first.
    const std::set<std::pair<Revision, std::string>>& final_states() const { return final_; }
    const std::map<std::string, Marks>& marks() const { return marks_; }  // by key
    const Mark* mark(const std::string& machine) const;
    const std::map<std::string, Slices>& slices() const { return slices_; }  // by key
    // What each sheet says, by key.
    using Said = std::vector<std::shared_ptr<const Entry>>;
    const std::map<std::string, Said>& sheets() const { return sheets_; }
    // Whether anything would be forgotten without that entry of a sheet.
    bool needed(const Entry& entry) const;
    // A task with its place, as long as the records stay as they are.
    struct Placed {
        const Job* job;
        const Placement* place;
    };
    // What the records say of one machine. Whoever looks often keeps it, and looks its name up only
    // once for each loads().
    struct Site {
        std::map<TaskId, Placed> tasks;
        Resources used;            // by them
        std::optional<Mark> mark;  // over all of its records
    };
    std::shared_ptr<const Site> site(const std::string& machine) { return at(machine); }
    // Drops sites of which there is nothing to say and that nobody keeps.
    void forget_sites();
    const std::map<TaskId, Placed>& on_machine(const std::string& machine) const;
    // Indexes over jobs(), kept by the change stream: jobs with tasks to place, cancelled ones,
    // and those that are over or whose job record is gone.
    const std::unordered_set<const Job*>& open() const { return open_; }
    const std::set<std::string>& cancelled() const { return cancelled_; }
    const std::set<std::string>& over() const { return over_; }
    // What those indexes must equal, counted anew; for tests.
    bool indexes_agree() const;
    const Placement* placement(const TaskId& id) const;
    // what claimed tasks of a team take, all or those charged to one member
    const Resources& used(const std::string& team) const;
    Resources used(const std::string& team, std::uint64_t charge) const;
    // placements that appeared since the last call, for the image estimate
    std::vector<std::pair<TaskId, Placement>> take_new_placements();
    // What the newest version understood that the controller of that name has ever run, see
    // level_now.
    int level(const std::string& name) const {
        auto it = levels_.find(keys::version(name));
        return it == levels_.end() ? 0 : it->second;
    }
    const std::optional<admission::Table>& table() const { return table_; }
    // Parts of what a job follows, by its uid and their number.
    using Parts = std::map<int, std::vector<std::string>>;
    const std::map<std::string, Parts>& follow_parts() const { return follow_parts_; }
    // A cancellation that is durable although this copy doesn't show it yet: told by this process,
    // or handed over by another. The job counts as cancelled from now on. False: it did already, is
    // over or unknown; a job that isn't here has no task here either.
    bool note_cancelled(const std::string& uid, double wall);
    // Treats a job as having at least that priority.
    void lend_priority(const std::string& uid, Priority priority);
    // machines whose placements changed, and jobs that changed, since the last call
    std::set<std::string> take_touched_machines() { return std::exchange(touched_machines_, {}); }
    std::set<std::string> take_touched_jobs() { return std::exchange(touched_jobs_, {}); }

  private:
    const std::shared_ptr<Site>& at(const std::string& machine);
    const Site& look(const std::string& machine) const;
    void remark(const std::set<std::string>& machines);
    void classify(const std::string& uid, Job& job);
    static bool is_over(const Job& job);
    void erase(const std::string& uid);

    void list(const std::string& uid, const Json& value, Revision revision, bool own);
    void set_block(Job& job, int k, Block next);
    void drop_block(Job& job, int k);
    void put_record(const std::string& uid, int k, Block next);
    void put_page(const std::string& uid, int k, Block next);
    void put_sheet(const std::string& key, const Sheet& sheet);
    void merge(const std::string& uid, int k, Block& next) const;
    void take_in(const Entry& entry);
    void take_in_parted(Job& job, const Entry& entry);
    void cut(Job& job);
    void cut(Job& job, int page);
    void gather_follows(const std::string& uid);
    void settle_drop(const std::string& uid);
    void unlist(const std::string& uid);
    void put_listing(const std::string& key, const Json& value, Revision revision);
    void drop_listing(const std::string& key);
    void put(const std::string& key, const Json& value, Revision revision);
    void drop(const std::string& key);
    void index(const Job& job, const Block& block, int sign);

    bool loaded_ = false;
    std::uint64_t loads_ = 0;
    Revision revision_ = 0;
    std::unordered_map<std::string, Revision> revisions_;
    std::optional<Epoch> epoch_;
    std::map<std::string, Member> member_keys_;
    std::unordered_map<std::string, Job> jobs_;
    std::map<std::string, Listing> listings_;
    std::unordered_map<std::string, std::size_t> listing_bytes_;
    std::map<std::string, int> levels_;  // by key
    std::optional<admission::Table> table_;
    std::map<std::string, Said> sheets_;
    std::unordered_map<std::string, Said> said_;  // the same by job, in the order of their writes
    std::map<std::string, Parts> follow_parts_;
    std::unordered_map<std::string, int> listed_;       // in how many of them a job is
    std::set<std::pair<Revision, std::string>> final_;  // by the revision of the final state
    std::map<std::string, Marks> marks_;
    std::map<std::string, Slices> slices_;
    std::unordered_map<std::string, std::shared_ptr<Site>> sites_;  // by machine
    std::unordered_set<const Job*> open_;
    std::set<std::string> cancelled_;
    std::map<std::string, double> noted_;  // cancellations that the records don't show yet
    std::set<std::string> over_;
    std::set<std::string> touched_machines_;
    std::set<std::string> touched_jobs_;
    std::map<std::string, Resources> used_;
    std::map<std::pair<std::string, std::uint64_t>, Resources> used_by_;
    std::vector<std::pair<TaskId, Placement>> fresh_;
};

}  // namespace cranemoor::core

"""Tests of the scripts in tools/ on short logs, a small site file and a fake test program."""

import contextlib
import io
import json
import pathlib
import sys
import tempfile
import tomllib
import unittest

sys.dont_write_bytecode = True
ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "tools"))
from loading import load_tool  # noqa: E402

LOG = str(ROOT / "tests" / "logs" / "served.log")
LARGEST_LOG = str(ROOT / "tests" / "logs" / "largest.log")


served = load_tool("served")
regress = load_tool("regress")
stories = load_tool("stories")


def run_served(*arguments):
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        exit_code = served.run(list(arguments))
    return exit_code, output.getvalue()


class Served(unittest.TestCase):
    def rows(self, *options):
        exit_code, text = run_served(LOG, "--json", "--late", "30", *options)
        return exit_code, json.loads(text)["rows"]

    def test_shares_are_reported_by_class_team_and_class_of_a_team(self):
        exit_code, rows = self.rows()
        self.assertEqual(exit_code, 1)
        self.assertEqual(rows["class desk"]["started"], 1.0)
        self.assertEqual(rows["class desk"]["over"], 1.0)  # a service whose replicas all started
        self.assertEqual(rows["sweep of red"]["started"], 0.5)
        self.assertEqual(rows["sweep of red"]["over"], 0.0)  # one of four tasks done
        self.assertEqual(rows["sweep of blue"]["over"], 1.0)
        self.assertEqual(rows["team red"]["asked"], 3)

    def test_jobs_refused_and_never_accepted_count_as_not_served(self):
        _, rows = self.rows()
        self.assertEqual(rows["class graph"]["lost"], 1)
        self.assertEqual(rows["class graph"]["accepted"], 0.5)
        self.assertEqual(rows["class graph"]["started"], 0.5)
        self.assertEqual(rows["class sweep"]["lost"], 0)  # refused once, accepted at the second attempt

    def test_waits_start_at_the_first_attempt_and_cancelled_and_late_jobs_are_ignored(self):
        _, rows = self.rows()
        self.assertEqual(rows["desk of red"]["wait_last"], 11.0)
        self.assertEqual(rows["sweep of red"]["tasks"], 4)   # the one submitted at 95 s came too late to count
        self.assertEqual(rows["sweep of blue"]["tasks"], 2)  # the cancelled one is not counted

    def test_in_time_uses_the_longest_wait_among_the_targets(self):
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as site:
            site.write('warmup_s = 1.0\n[[targets]]\nkind = "wait"\nclass = "sweep"\nwithin_s = 5.0\n'
                       '[[targets]]\nkind = "wait"\nclass = "sweep"\nwithin_s = 25.0\n'
                       '[[targets]]\nkind = "finished"\nclass = "sweep"\nwithin_s = 90.0\n')
            site.flush()
            _, rows = self.rows("--site", site.name)
        self.assertEqual(rows["sweep of red"]["in_time"], 0.25)
        self.assertEqual(rows["sweep of blue"]["in_time"], 0.0)
        self.assertIsNone(rows["class desk"]["in_time"])

    def test_largest_jobs_of_a_class_have_rows_and_must_begin_within_four_minutes(self):
        exit_code, text = run_served(LARGEST_LOG, "--json", "--late", "30")
        rows = json.loads(text)["rows"]
        self.assertEqual(exit_code, 1)
        large_gangs, largest_gang = rows["largest of train (4+)"], rows["top of train (8)"]
        self.assertEqual((large_gangs["asked"], large_gangs["begun"]), (2, 0.0))  # one never began, one after 297 s
        self.assertEqual((largest_gang["asked"], largest_gang["started"], largest_gang["begun"]), (1, 0.0, 0.0))
        self.assertEqual(rows["class train"]["over"], 0.75)  # the class row alone hides the unserved gang
        self.assertEqual(rows["top of sweep (6)"]["started"], 1.0)
        self.assertEqual(rows["top of sweep (6)"]["begun"], 0.0)  # half of its tasks started after 275 s
        large_services = rows["largest of desk (2+)"]
        self.assertEqual(large_services["asked"], 3)
        self.assertEqual(large_services["begun"], 0.5)  # the last one was submitted too late to count
        self.assertIsNone(rows["class desk"]["begun"])
        with open(LARGEST_LOG, encoding="utf-8") as log:
            jobs, last_s = served.read(log)
        messages = regress.underserved_rows("site day 1", jobs, last_s, 30.0)
        self.assertTrue(any("top of train (8)" in line and "begun 0.00" in line for line in messages))
        self.assertFalse(any("largest of desk" in line for line in messages))

    def test_exit_code_is_1_if_a_row_is_below_the_least_share(self):
        self.assertEqual(run_served(LOG, "--late", "30", "--least", "0")[0], 0)
        self.assertEqual(run_served(LOG, "--late", "30")[0], 1)

    def test_a_log_without_jobs_is_an_error(self):
        with tempfile.NamedTemporaryFile("w", suffix=".log") as empty:
            with self.assertRaises(served.CannotRead):
                run_served(empty.name)


class Regress(unittest.TestCase):
    def test_a_row_with_less_than_half_served_is_a_failure(self):
        with open(LOG, encoding="utf-8") as log:
            jobs, _ = served.read(log)
        messages = regress.underserved_rows("site day 1", jobs, 100.0, 30.0)
        self.assertTrue(any("sweep of red" in line for line in messages))
        self.assertFalse(any("class desk" in line for line in messages))



BENCH_OUTPUT = """run              hosts   mark  aims kept; lowest two [worth]
still             2005   0.70  10/21  submit 1000 ms: 0.99
  met    rules: 0 of 46852 (at most 0)
  roost-0: cpu 0.134 (peak 0.748), memory 17.973 MB, 1781 connections, 1 restarts
  roost-1: cpu 0.111 (peak 0.997), memory 47.438 MB, 2262 connections, 1 restarts

to play it took 50 s for the world, 102.8 s in the processes' own code and 3.5 s in the kernel, in 9 turns
"""
SITE = """name = "a"
wire = "wire.json"
duration_s = 500.0
[nodes]
zones = ["x", "y"]
memory_mb = 188.0
max_connections = 2262
restart_delay_s = 5.0
[[capacity]]
type = "m"
zone = "x"
count = 100
spot = 20
[[capacity]]
type = "m"
zone = "y"
count = 60
[[teams]]
name = "red"
gpus = 60.0
[[jobs]]
kind = "array"
name = "sweep"
initial = 10
arrivals = { rate = 1.5 }
[[jobs]]
kind = "gang"
name = "train"
[[jobs]]
kind = "service"
name = "desk"
[[day]]
faults = [
  { at_s = 245.0, kind = "machine_die", count = 30 },
]
"""


class Larger(unittest.TestCase):
    def write(self, *size):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        site_path = pathlib.Path(folder.name) / "a.toml"
        site_path.write_text(SITE, encoding="utf-8")
        (site_path.parent / "wire.json").write_text("{}", encoding="utf-8")
        path, days = regress.larger.write(site_path, site_path.parent / "out", *size)
        return tomllib.loads(path.read_text(encoding="utf-8")), days

    def test_machines_quotas_jobs_and_faults_scale_but_controller_limits_do_not(self):
        site, days = self.write(1.5, 0.3)
        self.assertEqual([c["count"] for c in site["capacity"]], [150, 90])
        self.assertEqual(site["teams"][0]["gpus"], 90)
        self.assertEqual((site["jobs"][0]["initial"], site["jobs"][0]["arrivals"]["rate"]), (15, 2.25))
        self.assertEqual((site["nodes"]["max_connections"], site["nodes"]["restart_delay_s"]), (2262, 0.3))
        self.assertEqual(site["day"][0]["faults"][0]["count"], 45)
        for path in days.values():
            self.assertTrue(tomllib.loads(path.read_text(encoding="utf-8"))["faults"])

    def test_uneven_zones_keep_the_total_number_of_machines(self):
        site, _ = self.write(1.0, 0.8, True)
        self.assertEqual([c["count"] for c in site["capacity"]], [50, 110])

    def test_a_day_near_its_connection_limit_is_a_failure(self):
        row, messages = regress.parse_run(BENCH_OUTPUT, {"nodes": {"memory_mb": 188.0, "max_connections": 2262}})
        self.assertEqual((row["mark"], row["peak"]), (0.70, 0.997))
        self.assertAlmostEqual(row["play_s"], 156.3)
        self.assertEqual(len(messages), 1)
        self.assertIn("sockets", messages[0])

    def test_a_day_that_did_not_finish_is_a_failure(self):
        self.assertEqual(len(regress.parse_run("", {"nodes": {}})[1]), 1)


class Stories(unittest.TestCase):
    """Uses a fake test program in which A.good passes, and A.bad and B/C.bad/0 fail."""

    PROGRAM = """#!/bin/sh
case "$1" in
--gtest_list_tests) printf 'Running main()\\nA.\\n  good\\n  bad\\nB/C.\\n  bad/0  # GetParam() = 1\\n';;
*=A.good) exit 0;;
*-A.bad:B/C.bad/0) exit 0;;
*) exit 1;;
esac
"""

    def run_with_list(self, list_text):
        with tempfile.TemporaryDirectory() as folder:
            program = pathlib.Path(folder) / "program"
            program.write_text(self.PROGRAM, encoding="utf-8")
            program.chmod(0o755)
            list_path = pathlib.Path(folder) / "KNOWN-RED.txt"
            if list_text is not None:
                list_path.write_text(list_text, encoding="utf-8")
            output = io.StringIO()
            with contextlib.redirect_stdout(output):
                try:
                    return stories.run(str(program), list_path), output.getvalue()
                except stories.InvalidList as error:
                    return 2, str(error)

    def test_listed_tests_that_fail_are_printed_and_do_not_fail_the_run(self):
        exit_code, output = self.run_with_list("A.bad | lost write | 9\nB/C.bad/0 | the same | 9\n")
        self.assertEqual(exit_code, 0)
        self.assertIn("known red: A.bad: lost write (9)", output)

    def test_an_unlisted_failure_or_a_listed_pass_fails_the_run(self):
        self.assertEqual(self.run_with_list(None)[0], 1)
        exit_code, output = self.run_with_list("A.good | none | 9\n")
        self.assertEqual(exit_code, 1)
        self.assertIn("A.good passes", output)

    def test_unknown_names_a_fourth_line_malformed_and_repeated_lines_are_rejected(self):
        self.assertIn("no test is called A.gone", self.run_with_list("A.gone | x | 9\n")[1])
        four_lines = "".join(f"A.t{i} | x | 9\n" for i in range(4))
        self.assertIn("at most 3", self.run_with_list(four_lines)[1])
        self.assertEqual(self.run_with_list("A.bad\n")[0], 2)
        self.assertEqual(self.run_with_list("A.bad | x | 9\nA.bad | y | 9\n")[0], 2)


class Meetings(unittest.TestCase):
    def test_days_use_the_times_and_classes_of_the_site(self):
        with tempfile.TemporaryDirectory() as folder:
            site_path = pathlib.Path(folder) / "a.toml"
            site_path.write_text(SITE + "[workers]\ncancel_s = 50.0\nlease_s = 30.0\n", encoding="utf-8")
            days = regress.meetings.write(site_path, folder)
            self.assertGreaterEqual(len(days), 20)
            parsed_days = {name: tomllib.loads(path.read_text(encoding="utf-8")) for name, path in days.items()}
        for name, day in parsed_days.items():
            # Days on which jobs must finish keep the site's jobs; all others define their own.
            self.assertEqual("jobs" not in day, name in regress.meetings.DAYS_WITH_SITE_JOBS, name)
            self.assertTrue("jobs" not in day or day["jobs"][0]["name"] == "sweep", name)
            self.assertGreaterEqual(len({fault["kind"] for fault in day["faults"]}), 2, name)
        outages = [fault for fault in parsed_days["gap-long"]["faults"] if fault["kind"] == "state_outage"]
        self.assertEqual([fault["for_s"] for fault in outages], [100.0, 100.0])
        self.assertTrue(parsed_days["gap-alone"]["faults"][0]["from_peers"])
        crash_times_s = [fault["at_s"] for fault in parsed_days["away"]["faults"] if fault["kind"] == "node_crash"]
        self.assertGreater(max(crash_times_s) - min(crash_times_s), 30.0)  # down for longer than a lease
        small_jobs = parsed_days["small"]["jobs"][0]
        self.assertEqual((small_jobs["arrivals"]["rate"], small_jobs["cancelled"]), (4.0, 0.25))


if __name__ == "__main__":
    unittest.main()

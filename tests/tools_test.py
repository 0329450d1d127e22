"""Tests of the tools: what they make of a short log."""

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
LARGEST = str(ROOT / "tests" / "logs" / "largest.log")


served = load_tool("served")
regress = load_tool("regress")
stories = load_tool("stories")


def call(*arguments):
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        code = served.serve(list(arguments))
    return code, out.getvalue()


class Served(unittest.TestCase):
    def rows(self, *more):
        code, text = call(LOG, "--json", "--late", "30", *more)
        return code, json.loads(text)["rows"]

    def test_shares_are_by_class_team_and_class_of_a_team(self):
        code, rows = self.rows()
        self.assertEqual(code, 1)
        self.assertEqual(rows["class desk"]["started"], 1.0)
        self.assertEqual(rows["class desk"]["over"], 1.0)  # a service whose replicas all started
        self.assertEqual(rows["sweep of red"]["started"], 0.5)
        self.assertEqual(rows["sweep of red"]["over"], 0.0)  # one task done of four
        self.assertEqual(rows["sweep of blue"]["over"], 1.0)
        self.assertEqual(rows["team red"]["asked"], 3)

    def test_what_was_refused_and_never_accepted_counts_as_not_served(self):
        _, rows = self.rows()
        self.assertEqual(rows["class graph"]["lost"], 1)
        self.assertEqual(rows["class graph"]["accepted"], 0.5)
        self.assertEqual(rows["class graph"]["started"], 0.5)
        self.assertEqual(rows["class sweep"]["lost"], 0)  # refused once, accepted at the second try

    def test_waits_count_from_the_first_try_and_cancelled_and_late_jobs_do_not(self):
        _, rows = self.rows()
        self.assertEqual(rows["desk of red"]["wait_last"], 11.0)
        self.assertEqual(rows["sweep of red"]["tasks"], 4)   # the one at 95 s came too late
        self.assertEqual(rows["sweep of blue"]["tasks"], 2)  # the cancelled one is left out

    def test_in_time_is_the_loosest_wait_that_the_aims_name(self):
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as site:
            site.write('warmup_s = 1.0\n[[targets]]\nkind = "wait"\nclass = "sweep"\nwithin_s = 5.0\n'
                       '[[targets]]\nkind = "wait"\nclass = "sweep"\nwithin_s = 25.0\n'
                       '[[targets]]\nkind = "finished"\nclass = "sweep"\nwithin_s = 90.0\n')
            site.flush()
            _, rows = self.rows("--site", site.name)
        self.assertEqual(rows["sweep of red"]["in_time"], 0.25)
        self.assertEqual(rows["sweep of blue"]["in_time"], 0.0)
        self.assertIsNone(rows["class desk"]["in_time"])

    def test_the_largest_jobs_of_a_class_have_rows_and_must_begin_within_four_minutes(self):
        code, text = call(LARGEST, "--json", "--late", "30")
        rows = json.loads(text)["rows"]
        self.assertEqual(code, 1)
        gangs, top = rows["largest of train (4+)"], rows["top of train (8)"]
        self.assertEqual((gangs["asked"], gangs["begun"]), (2, 0.0))  # one never, one after 297 s
        self.assertEqual((top["asked"], top["started"], top["begun"]), (1, 0.0, 0.0))
        self.assertEqual(rows["class train"]["over"], 0.75)  # which alone would have hidden it
        self.assertEqual(rows["top of sweep (6)"]["started"], 1.0)
        self.assertEqual(rows["top of sweep (6)"]["begun"], 0.0)  # half of it began after 275 s
        services = rows["largest of desk (2+)"]
        self.assertEqual(services["asked"], 3)
        self.assertEqual(services["begun"], 0.5)  # the one that came last is too young
        self.assertIsNone(rows["class desk"]["begun"])
        with open(LARGEST, encoding="utf-8") as log:
            jobs, last = served.read(log)
        bad = regress.hardly_served("site day 1", jobs, last, 30.0)
        self.assertTrue(any("top of train (8)" in line and "begun 0.00" in line for line in bad))
        self.assertFalse(any("largest of desk" in line for line in bad))

    def test_the_exit_code_says_whether_a_row_is_short(self):
        self.assertEqual(call(LOG, "--late", "30", "--least", "0")[0], 0)
        self.assertEqual(call(LOG, "--late", "30")[0], 1)

    def test_a_log_without_jobs_is_an_error(self):
        with tempfile.NamedTemporaryFile("w", suffix=".log") as empty:
            with self.assertRaises(served.CannotRead):
                call(empty.name)


class Regress(unittest.TestCase):
    def test_a_row_that_was_hardly_served_is_a_failure(self):
        with open(LOG, encoding="utf-8") as log:
            found, _ = served.read(log)
        bad = regress.hardly_served("site day 1", found, 100.0, 30.0)
        self.assertTrue(any("sweep of red" in line for line in bad))
        self.assertFalse(any("class desk" in line for line in bad))



WORDS = """run              hosts   mark  aims kept; lowest two [worth]
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
        given = pathlib.Path(folder.name) / "a.toml"
        given.write_text(SITE, encoding="utf-8")
        (given.parent / "wire.json").write_text("{}", encoding="utf-8")
        path, days = regress.larger.write(given, given.parent / "out", *size)
        return tomllib.loads(path.read_text(encoding="utf-8")), days

    def test_what_grows_with_the_size_grows_and_the_limits_stay(self):
        site, days = self.write(1.5, 0.3)
        self.assertEqual([c["count"] for c in site["capacity"]], [150, 90])
        self.assertEqual(site["teams"][0]["gpus"], 90)
        self.assertEqual((site["jobs"][0]["initial"], site["jobs"][0]["arrivals"]["rate"]), (15, 2.25))
        self.assertEqual((site["nodes"]["max_connections"], site["nodes"]["restart_delay_s"]), (2262, 0.3))
        self.assertEqual(site["day"][0]["faults"][0]["count"], 45)
        for path in days.values():
            self.assertTrue(tomllib.loads(path.read_text(encoding="utf-8"))["faults"])

    def test_uneven_zones_have_as_many_machines_together(self):
        site, _ = self.write(1.0, 0.8, True)
        self.assertEqual([c["count"] for c in site["capacity"]], [50, 110])

    def test_a_day_near_its_limits_is_a_failure(self):
        row, bad = regress.judge(WORDS, {"nodes": {"memory_mb": 188.0, "max_connections": 2262}})
        self.assertEqual((row["mark"], row["peak"]), (0.70, 0.997))
        self.assertAlmostEqual(row["play_s"], 156.3)
        self.assertEqual(len(bad), 1)
        self.assertIn("sockets", bad[0])

    def test_a_day_that_was_not_over_is_a_failure(self):
        self.assertEqual(len(regress.judge("", {"nodes": {}})[1]), 1)


class Stories(unittest.TestCase):
    """A stand-in for the test program: A.good passes, A.bad and B/C.bad/0 fail."""

    PROGRAM = """#!/bin/sh
case "$1" in
--gtest_list_tests) printf 'Running main()\\nA.\\n  good\\n  bad\\nB/C.\\n  bad/0  # GetParam() = 1\\n';;
*=A.good) exit 0;;
*-A.bad:B/C.bad/0) exit 0;;
*) exit 1;;
esac
"""

    def run_with(self, listed):
        with tempfile.TemporaryDirectory() as folder:
            program = pathlib.Path(folder) / "program"
            program.write_text(self.PROGRAM, encoding="utf-8")
            program.chmod(0o755)
            known = pathlib.Path(folder) / "KNOWN-RED.txt"
            if listed is not None:
                known.write_text(listed, encoding="utf-8")
            words = io.StringIO()
            with contextlib.redirect_stdout(words):
                try:
                    return stories.run(str(program), known), words.getvalue()
                except stories.BadList as why:
                    return 2, str(why)

    def test_listed_tests_that_fail_are_passed_over_and_printed(self):
        code, words = self.run_with("A.bad | lost write | 9\nB/C.bad/0 | the same | 9\n")
        self.assertEqual(code, 0)
        self.assertIn("known red: A.bad: lost write (9)", words)

    def test_one_that_fails_unlisted_and_one_that_passes_listed_fail(self):
        self.assertEqual(self.run_with(None)[0], 1)
        code, words = self.run_with("A.good | none | 9\n")
        self.assertEqual(code, 1)
        self.assertIn("A.good passes", words)

    def test_unknown_names_a_fourth_line_and_odd_lines_fail(self):
        self.assertIn("no test is called A.gone", self.run_with("A.gone | x | 9\n")[1])
        four = "".join(f"A.t{i} | x | 9\n" for i in range(4))
        self.assertIn("at most 3", self.run_with(four)[1])
        self.assertEqual(self.run_with("A.bad\n")[0], 2)
        self.assertEqual(self.run_with("A.bad | x | 9\nA.bad | y | 9\n")[0], 2)


class Meetings(unittest.TestCase):
    def test_days_follow_the_sites_times_and_name_its_classes(self):
        with tempfile.TemporaryDirectory() as folder:
            given = pathlib.Path(folder) / "a.toml"
            given.write_text(SITE + "[workers]\ncancel_s = 50.0\nlease_s = 30.0\n", encoding="utf-8")
            days = regress.meetings.write(given, folder)
            self.assertGreaterEqual(len(days), 20)
            read = {n: tomllib.loads(p.read_text(encoding="utf-8")) for n, p in days.items()}
        for name, day in read.items():
            # Jobs that are to end are left as the site has them; all others are made to suit.
            self.assertEqual("jobs" not in day, name in regress.meetings.SHORT, name)
            self.assertTrue("jobs" not in day or day["jobs"][0]["name"] == "sweep", name)
            self.assertGreaterEqual(len({f["kind"] for f in day["faults"]}), 2, name)
        outages = [f for f in read["gap-long"]["faults"] if f["kind"] == "state_outage"]
        self.assertEqual([f["for_s"] for f in outages], [100.0, 100.0])
        self.assertTrue(read["gap-alone"]["faults"][0]["from_peers"])
        ends = [f["at_s"] for f in read["away"]["faults"] if f["kind"] == "node_crash"]
        self.assertGreater(max(ends) - min(ends), 30.0)  # away for longer than a lease
        small = read["small"]["jobs"][0]
        self.assertEqual((small["arrivals"]["rate"], small["cancelled"]), (4.0, 0.25))


if __name__ == "__main__":
    unittest.main()

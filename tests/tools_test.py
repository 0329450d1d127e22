"""Stories of the tools: what they make of a short log."""

import contextlib
import importlib.machinery
import importlib.util
import io
import json
import pathlib
import sys
import tempfile
import unittest

sys.dont_write_bytecode = True
ROOT = pathlib.Path(__file__).resolve().parent.parent
LOG = str(ROOT / "tests" / "logs" / "served.log")


def tool(name):
    loader = importlib.machinery.SourceFileLoader(name, str(ROOT / "tools" / name))
    module = importlib.util.module_from_spec(importlib.util.spec_from_loader(name, loader))
    sys.modules[name] = module
    loader.exec_module(module)
    return module


served = tool("served")
regress = tool("regress")


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


if __name__ == "__main__":
    unittest.main()

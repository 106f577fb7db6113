"""
tests.test_bench_measure
~~~~~~~~~~~~~~~~~~~~~~~~

Tests the fits, generated data and arithmetic behind the capacity page.
"""

import json
import random
import tempfile
from pathlib import Path

import testtools

from bench import capacity, measure, report, slope_bundle, slope_ledger
from bench.target import NODES, make_vm_list
from eelgrassfork.ledger import decode_shard, encode_shard


def temporary_directory(test):
    directory = tempfile.TemporaryDirectory()
    test.addCleanup(directory.cleanup)
    return Path(directory.name)


class FitTests(testtools.TestCase):
    def test_known_slopes_are_found(self):
        points = [
            ((x, y), 3 * x + 0.5 * y + 7)
            for x in (1, 10, 100)
            for y in (0, 20, 40)
        ]
        found = measure.fit(points, ('per_x', 'per_y'))
        for name, value in (('per_x', 3), ('per_y', 0.5), ('base', 7)):
            self.assertAlmostEqual(value, found[name], 6)
        self.assertEqual(0, found['worst_error'])

    def test_a_curve_shows_as_error(self):
        """Guards against extrapolating a curve as if it were a line."""
        points = [((x,), x * x) for x in (1, 10, 100)]
        found = measure.fit(points, ('per_x',))
        self.assertTrue(found['worst_error'] > 0.3, found)


class SizeTests(testtools.TestCase):
    def test_made_shard_is_a_valid_ledger(self):
        """Guards against measuring shards that routers would not accept."""
        shard = slope_ledger.make_shard(random.Random(1), 3, 2)
        self.assertEqual(shard, decode_shard(encode_shard(shard)))

    def test_a_change_touches_two_parts(self):
        source = random.Random(1)
        sources = slope_bundle.make_sources(source, 40)
        before = slope_bundle.compile_parts(sources)
        _, changes = slope_bundle._change_organisations(source, sources, before)
        self.assertEqual(slope_bundle.CHANGES, len(changes))
        self.assertTrue(all(0 < size < 60_000 for size in changes))

    def test_made_vms_have_different_names(self):
        vms = make_vm_list(random.Random(1), 30, 70).vms
        self.assertEqual(100, len({record.vm for record in vms}))


class CapacityTests(testtools.TestCase):
    def lines(self, interval_of):
        slopes = capacity.Slopes(
            [
                {'measure': f'ledger.{step}', 'fit': fitted}
                for step, fitted in interval_of.items()
            ]
            + [measure.row('credit.scan_a_shard', 1, 'ms', routers=NODES)]
        )
        return {
            (line['what'], line['unit']): line['value']
            for line in capacity._ledger(slopes, 400)
        }

    def test_ledger_arithmetic(self):
        """Guards against wrong conversions of shards, interval and bytes."""
        fitted = {'per_budget': 100, 'per_entry': 50, 'base': 0}
        steps = ('size bytes', 'decode ms', 'change ms', 'encode ms')
        found = self.lines(dict.fromkeys(steps, fitted))
        # 375 budgets of 100 + 6 x 50 bytes; 6 homes share 200 writes/s.
        self.assertEqual(150, found['shard', 'KB'])
        self.assertEqual(12, found['report interval', 's'])
        self.assertEqual(60, found['commits', 'MB/s at the platform'])

    def test_newest_matching_line_counts(self):
        slopes = capacity.Slopes(
            [
                measure.row('x', 1, 's', size=1),
                measure.row('x', 2, 's', size=2),
                measure.row('x', 3, 's', size=1),
            ]
        )
        self.assertEqual(3, slopes.value('x', size=1))
        self.assertRaises(KeyError, slopes.value, 'x', size=9)


class ReportTests(testtools.TestCase):
    def test_lines_of_one_kind_share_a_table(self):
        rows = [measure.row('a', number, 's', size=number) for number in (1, 2)]
        text = report.tables([*rows, measure.row('b', 1, 's')])
        self.assertEqual(
            'a\nsize  value  unit\n1     1      s\n2     2      s\n\n'
            'b\nvalue  unit\n1      s',
            text,
        )

    def test_plots_are_drawn_for_what_is_there(self):
        directory = temporary_directory(self)
        lines = [
            {
                'measure': 'load.second',
                'stream': 's',
                'second': second,
                'by_outcome': {'ok': 3},
            }
            for second in range(3)
        ]
        drawn = report.plot(lines, directory, 'run')
        self.assertEqual(['run-seconds.svg'], [each.name for each in drawn])
        self.assertIn('<svg', drawn[0].read_text())

    def test_reads_only_json_lines(self):
        directory = temporary_directory(self)
        path = directory / 'run.jsonl'
        path.write_text('== title\n' + json.dumps({'measure': 'a'}) + '\n')
        self.assertEqual([{'measure': 'a'}], report.read_lines([path]))

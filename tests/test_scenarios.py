"""
tests.test_scenarios
~~~~~~~~~~~~~~~~~~~~

Guards against faults that only show when operators, mergers and partitions
meet; each file in tests/scenarios describes one.
"""

from pathlib import Path

import testtools
import trio
import trio.testing

from eelgrassfork.json_comments import read_document

from .scenario_runner import Scenario, StepFailed

FILES = sorted((Path(__file__).parent / 'scenarios').glob('*.json5'))


def run(content):
    async def main():
        async with trio.open_nursery() as nursery:
            await Scenario(content, nursery).run()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class ScenarioTests(testtools.TestCase):
    """One test of each file; a method each, as pytest runs no copies."""


def _test_of(file):
    return lambda self: run(read_document(str(file)).content)


for each in FILES:
    setattr(ScenarioTests, f'test_{each.stem}', _test_of(each))


class RunnerTests(testtools.TestCase):
    def test_wrong_expectations_fail(self):
        cases = (
            {'versions': {'vm-1': 1}},
            {'finds': 'vm-1', 'service': 's', 'fleet': 'f', 'gives': 'f/s'},
            {'submit': 'one'},
            {'submit': 'two', 'fails': 'other'},
        )
        for step in cases:
            with self.subTest(step=step):
                content = {
                    'routers': {'vm-1': 'f/a'},
                    'sources': {'f': {'fleets': {'f': {}}}},
                    'steps': [
                        {'sign': 'f', 'into': 'one', 'base': 4},
                        {'sign': 'f', 'into': 'two', 'base': 0},
                        {'sign': 'f', 'into': 'first', 'base': 0},
                        {'submit': 'first'},
                        {'sign': 'f', 'into': 'second', 'base': 1},
                        {'submit': 'second'},
                        {'start': 'all'},
                        {'wait': 5},
                        step,
                    ],
                }
                error = self.assertRaises(BaseExceptionGroup, run, content)
                self.assertIsInstance(error.exceptions[0], StepFailed)
                self.assertIn('step 9', str(error.exceptions[0]))

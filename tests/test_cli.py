"""
tests.test_cli
~~~~~~~~~~~~~~

Guards against wrong exit codes and output that contains secrets.
"""

import contextlib
import io
import json
import os
import queue
import re
import shutil
import tempfile
import threading
from pathlib import Path

import testtools
import trio

from eelgrassfork import cli
from eelgrassfork.errors import RequestError
from eelgrassfork.http_server import HttpServer
from eelgrassfork.platform_types import AnswerLost
from eelgrassfork.vm_list import VmRecord
from standins.platform import PlatformStandin

EXAMPLES = Path(__file__).parent.parent / 'examples'
SOURCES = str(EXAMPLES / 'pazlen' / 'bundle')
EXAMPLE_SETTINGS = EXAMPLES / 'pazlen' / 'router-haskovo.json'
OPERATOR_KEY = 'operator-secret'
BUDGET = 'pazlen/atelier/main'
STATE = {
    'rollout': {'version': 1, 'in_force_for_s': 3.5, 'ready': True},
    'membership': {
        'peers': [{'vm': 'vm-gone', 'bundle_version': 1, 'heard_s_ago': 9.5}]
    },
}


class StandinFleet:
    """Platform stand-in and a router's operator port, run in a thread."""

    def __init__(self):
        self.started = queue.Queue()
        self.drained = []
        self.problems = []
        self.thread = threading.Thread(target=trio.run, args=(self.main,))
        self.thread.start()
        self.token, self.stop, self.platform = self.started.get(timeout=10)

    async def main(self):
        stop = trio.Event()
        platform = PlatformStandin()
        operators = HttpServer(self.serve)
        async with trio.open_nursery() as nursery:
            await platform.start(nursery, '127.0.0.1', 0)
            await operators.start(nursery, '127.0.0.1', 0)
            platform.set_vms(
                router('vm-1', operators.address),
                router('vm-gone', '127.0.0.1:1'),
            )
            self.started.put(
                (trio.lowlevel.current_trio_token(), stop, platform)
            )
            await stop.wait()
            nursery.cancel_scope.cancel()

    async def serve(self, call):
        bearer = call.headers_by_name.get('authorization')
        if bearer != f'Bearer {OPERATOR_KEY}':
            raise RequestError('unknown_key', 'wrong key')
        if call.path == '/drain':
            self.drained.append(call.method)
        if call.path == '/bundle/trial':
            report = {'problems': self.problems, 'notices': [], 'took_ms': 2}
            await call.respond(200, json.dumps(report).encode())
            return
        await call.respond(200, json.dumps(STATE).encode())

    def call_in_thread(self, command, **options):
        trio.from_thread.run_sync(
            lambda: command(**options), trio_token=self.token
        )

    def close(self):
        trio.from_thread.run_sync(self.stop.set, trio_token=self.token)
        self.thread.join(10)


def router(vm, operator_address):
    return VmRecord(
        vm,
        'router',
        'live',
        'pazlen',
        '',
        'pazlen/haskovo',
        'bg-south',
        '',
        '',
        operator_address,
    )


def run(*argv):
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            code = cli.main([str(arg) for arg in argv])
        except SystemExit as stopped:
            code = stopped.code
    return code, out.getvalue() + err.getvalue()


class CliTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.directory = tempfile.mkdtemp()
        self.key = self.path('operator.key')

    def path(self, name):
        return os.path.join(self.directory, name)

    def expect(self, code, *argv):
        found, text = run(*argv)
        self.assertEqual(code, found, text)
        return text


class FileCommandTests(CliTestCase):
    def test_invalid_usage_and_input(self):
        bad = self.path('bad.json')
        Path(bad).write_text('{\n"vm": 3}')
        cases = (
            ('settings', 'check', bad),
            ('settings', 'check', '/no/such/file'),
            ('settings', 'check'),
            ('settings',),
            ('bundle', 'check', self.directory),
            ('bundle', 'check'),
            (
                'bundle',
                'sign',
                SOURCES,
                '--key',
                bad,
                '--base',
                '0',
                '--out',
                bad,
            ),
            ('bundle', 'submit', bad, '--settings', EXAMPLE_SETTINGS),
            ('keys', 'list', bad),
            ('nonsense',),
        )
        for argv in cases:
            with self.subTest(argv=argv):
                self.expect(2, *argv)
        text = self.expect(2, 'settings', 'check', bad, EXAMPLE_SETTINGS)
        self.assertIn(f'{bad}:2: vm: expected str', text)
        self.assertIn(f'{EXAMPLE_SETTINGS}: ok', text)

    def test_private_key_is_never_shown(self):
        made = self.expect(0, 'keys', 'make', self.key)
        listed = self.expect(0, 'keys', 'list', self.key)
        refused = self.expect(2, 'keys', 'make', self.key)
        secret = json.loads(Path(self.key).read_text())['private_key']
        for text in (made, listed, refused):
            self.assertNotIn(secret, text)

    def test_created_organisation_has_the_printed_key(self):
        for kind in ('fleets', 'organisations', 'places', 'services'):
            text = (Path(SOURCES) / f'{kind}.json').read_text()
            Path(self.directory, f'{kind}.json').write_text(text)
        create = (
            'organisation',
            'create',
            'newshop',
            '--sources',
            self.directory,
            '--services',
            'matcher',
        )
        key = self.expect(0, *create).split()[-1]
        text = Path(self.directory, 'organisations.json').read_text()
        self.assertNotIn(key, text)
        self.expect(3, *create)
        self.expect(0, 'bundle', 'check', self.directory)


class FleetCommandTests(CliTestCase):
    def setUp(self):
        super().setUp()
        self.fleet = StandinFleet()
        self.addCleanup(self.fleet.close)
        entry = self.expect(0, 'keys', 'make', self.key).splitlines()[-1]
        text = EXAMPLE_SETTINGS.read_text().replace(
            '127.20.0.1:9000', self.fleet.platform.address
        )
        text = re.sub('("trusted_keys": {)[^}]*', rf'\1{entry}', text)
        self.settings = self.path('router.json')
        Path(self.settings).write_text(text)
        self.operator_key = self.path('operators')
        Path(self.operator_key).write_text(f'{OPERATOR_KEY}\n')

    def on_fleet(self, code, *argv):
        return self.expect(code, *argv, '--settings', self.settings)

    def sign(
        self, base, name='signed', key=None, author='ann', sources=SOURCES
    ):
        out = self.path(name)
        self.expect(
            0,
            *('bundle', 'sign', sources, '--key', key or self.key),
            *('--base', base, '--out', out, '--author', author),
        )
        return out

    def test_bundle_is_submitted_and_shown(self):
        self.assertIn('"version": 0', self.on_fleet(0, 'bundle', 'show'))
        first = self.sign(0)
        self.on_fleet(0, 'bundle', 'submit', first)
        again = self.on_fleet(0, 'bundle', 'submit', first)
        self.assertIn('already', again)
        shown = json.loads(self.on_fleet(0, 'bundle', 'show'))
        self.assertEqual(
            (1, 10), (shown['version'], len(shown['organisations']))
        )
        skipped = self.sign(5, 'skipped')
        self.on_fleet(3, 'bundle', 'submit', skipped)
        other_key = self.path('other.key')
        self.expect(0, 'keys', 'make', other_key)
        forged = self.sign(1, 'forged', other_key)
        self.on_fleet(4, 'bundle', 'submit', forged)
        status = self.on_fleet(
            0, 'bundle', 'status', '--operator-key-file', self.operator_key
        )
        self.assertIn('vm-1  live  version 1  for 3.5 s', status)
        self.assertIn('vm-gone  unreachable  version 1  as its', status)
        self.assertIn('vm-1, 9.5 s ago', status)
        self.assertIn('pazlen/depot  no router is listed', status)

    def test_rollout_requires_every_stage_to_pass(self):
        by_key = ('--operator-key-file', self.operator_key)
        first = self.sign(0)
        rollout = ('bundle', 'rollout', first, *by_key)
        self.fleet.problems.append('it lacks this place')
        text = self.on_fleet(4, *rollout)
        self.assertIn('vm-1: it lacks this place', text)
        self.fleet.problems.clear()
        text = self.on_fleet(0, *rollout, '--dry-run')
        self.assertIn('vm-1  would take it  after 2 ms', text)
        cut = ('--stages', 'pazlen/haskovo', 'pazlen/none,pazlen/haskovo')
        text = self.on_fleet(4, *rollout, *cut)
        self.assertIn('no router of pazlen/none answers', text)
        self.assertIn('"version": 0', self.on_fleet(0, 'bundle', 'show'))
        text = self.on_fleet(5, *rollout, '--watch')
        self.assertIn('version 1 is accepted', text)
        self.assertIn('vm-gone  unreachable  version 1', text)
        self.assertNotIn('stage', self.on_fleet(0, *rollout))
        late = self.sign(0, 'late', author='ben')
        self.on_fleet(3, 'bundle', 'rollout', late, *by_key)

    def test_top_up_is_applied_once(self):
        self.on_fleet(4, 'budget', 'show', BUDGET)
        self.on_fleet(0, 'bundle', 'submit', self.sign(0))
        top_up = ('budget', 'top-up', BUDGET, '500', '--operation-id', 'op-1')
        self.fleet.call_in_thread(
            self.fleet.platform.set_faults, lose_answers=1
        )
        self.assertIn('was granted', self.on_fleet(0, *top_up))
        self.assertIn('had been', self.on_fleet(0, *top_up))
        self.on_fleet(3, *top_up[:3], '600', *top_up[4:])
        self.on_fleet(2, *top_up[:2], 'pazlen/atelier/x', *top_up[3:])
        self.on_fleet(2, *top_up[:3], '0')
        shown = json.loads(self.on_fleet(0, 'budget', 'show', BUDGET))
        self.assertEqual(500, shown['granted'])

    def lose_next_response_and_go_down(self):
        """Apply the next write, lose its response and take the platform down."""
        core = self.fleet.platform.core
        write = core.write

        async def write_and_lose(client, kind, change):
            await write(client, kind, change)
            core.write = write
            core.change_faults(down=True)
            raise AnswerLost('answer_lost', 'the write took effect')

        core.write = write_and_lose

    def test_top_up_repeated_after_a_lost_answer_is_applied_once(self):
        self.on_fleet(0, 'bundle', 'submit', self.sign(0))
        top_up = ('budget', 'top-up', BUDGET, '500', '--if-granted', '0')
        self.lose_next_response_and_go_down()
        output = self.on_fleet(5, *top_up)
        self.fleet.call_in_thread(self.fleet.platform.set_faults, down=False)
        operation_id = re.search('operation id (op-[^ \n]+)', output)[1]
        again = (*top_up, '--operation-id', operation_id)
        self.assertIn('had been', self.on_fleet(0, *again))
        late = self.on_fleet(3, *top_up)
        self.assertIn('you read 0, it is 500', late)
        self.assertIn(f'500 by {operation_id}', late)
        shown = json.loads(self.on_fleet(0, 'budget', 'show', BUDGET))
        self.assertEqual(500, shown['granted'])

    def test_concurrent_submissions(self):
        sources = self.path('sources')
        shutil.copytree(SOURCES, sources)
        places = Path(sources, 'places.json')
        self.on_fleet(0, 'bundle', 'submit', self.sign(0))
        signed = {}
        for name, old, new in (
            (
                'first',
                '"depot": {"region": "bg-south"}',
                '"depot": {"region": "b2"}',
            ),
            (
                'clash',
                '"depot": {"region": "bg-south"}',
                '"depot": {"region": "b3"}',
            ),
            ('apart', '"plovdiv-a"', '"varna": {"region": "x"}, "plovdiv-a"'),
        ):
            text = Path(SOURCES, 'places.json').read_text()
            places.write_text(text.replace(old, new))
            signed[name] = self.sign(1, name, author=name, sources=sources)
        self.on_fleet(0, 'bundle', 'submit', signed['first'])
        merge = ('--merge', '--key', self.key)
        for options in ((), merge):
            text = self.on_fleet(
                3, 'bundle', 'submit', signed['clash'], *options
            )
            self.assertIn(
                "places pazlen/depot region: yours 'b3', accepted 'b2', "
                "before 'bg-south'; version 2 by first with key ",
                text,
            )
        text = self.on_fleet(3, 'bundle', 'submit', signed['apart'])
        self.assertIn('no field conflicts', text)
        text = self.on_fleet(0, 'bundle', 'submit', signed['apart'], *merge)
        self.assertIn('version 3 is accepted', text)
        self.assertIn('places pazlen/depot', text)
        shown = json.loads(self.on_fleet(0, 'bundle', 'show'))
        self.assertEqual('b2', shown['places']['pazlen/depot']['region'])
        self.assertIn('pazlen/varna', shown['places'])

    def test_rotation_and_revocation_of_a_key(self):
        sources = self.path('sources')
        shutil.copytree(SOURCES, sources)
        self.on_fleet(0, 'bundle', 'submit', self.sign(0))
        new_key, outputs = self.path('new.key'), []
        outputs.append(
            self.expect(
                0,
                *('keys', 'rotate', new_key, '--key', self.key),
                *('--sources', sources),
            )
        )
        old_id = re.search('granted trust by ([0-9a-f]+)', outputs[0])[1]
        rotated = self.sign(1, 'rotated', new_key, sources=sources)
        outputs.append(self.on_fleet(0, 'bundle', 'submit', rotated))
        revoke = ('keys', 'revoke', old_id, '--sources', sources)
        outputs.append(self.expect(0, *revoke))
        self.expect(2, 'keys', 'revoke', 'x', '--sources', sources)
        revoked = self.sign(2, 'revoked', new_key, sources=sources)
        outputs.append(self.on_fleet(0, 'bundle', 'submit', revoked))
        outputs.append(self.on_fleet(0, 'keys', 'list', new_key))
        self.assertIn(f'{old_id}  revoked, still in the settings', outputs[-1])
        self.assertIn(f'granted by {old_id}', outputs[-1])
        outputs.append(self.on_fleet(0, 'bundle', 'show'))
        self.assertIn(old_id, json.loads(outputs[-1])['revoked_key_ids'])

        by_old = ('--key', self.key, '--base', '3', '--out', self.path('x'))
        self.expect(4, 'bundle', 'sign', sources, *by_old)
        stolen = self.sign(3, 'stolen')
        text = self.on_fleet(4, 'bundle', 'submit', stolen)
        self.assertIn('revoked', text)
        self.assertEqual(3, json.loads(outputs[-1])['version'])

        signed = Path(revoked).read_bytes().decode('latin-1')
        for key in (self.key, new_key):
            secret = json.loads(Path(key).read_text())['private_key']
            for text in (
                *outputs,
                signed,
                Path(sources, 'keys.json').read_text(),
            ):
                self.assertNotIn(secret, text)

    def test_platform_down(self):
        signed = self.sign(0)
        self.fleet.call_in_thread(self.fleet.platform.set_faults, down=True)
        for argv in (
            ('bundle', 'submit', signed),
            ('bundle', 'show'),
            ('budget', 'top-up', BUDGET, '500'),
            ('router', 'list'),
        ):
            with self.subTest(argv=argv):
                self.on_fleet(5, *argv)

    def test_routers(self):
        self.assertIn('vm-1', self.on_fleet(0, 'router', 'list'))
        by_key = ('--operator-key-file', self.operator_key)
        dumped = self.on_fleet(0, 'router', 'dump', 'vm-1', *by_key)
        self.assertEqual(STATE, json.loads(dumped))
        self.on_fleet(0, 'router', 'drain', 'vm-1', *by_key)
        self.assertEqual(['POST'], self.fleet.drained)
        self.on_fleet(5, 'router', 'drain', 'vm-gone', *by_key)
        self.on_fleet(2, 'router', 'drain', 'vm-none', *by_key)
        Path(self.operator_key).write_text('wrong')
        self.on_fleet(4, 'router', 'dump', 'vm-1', *by_key)

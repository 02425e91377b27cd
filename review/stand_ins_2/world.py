"""Stand-ins for a small deployment: store, promote call, members, hosts, clients.

Standard library only. They follow the users' pages; where these are silent, they
behave like a sound server, client or platform.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
LINE_LIMIT = 4 * 1024 * 1024
_given_ports = set()


def common_port(ips):
    """Return a port that is free on all of the addresses.

    It is below the ports of outgoing connections.
    """
    while True:
        port = random.randrange(20_000, 32_000)
        if port in _given_ports:
            continue
        try:
            for ip in ips:
                with socket.socket() as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        _given_ports.add(port)
        return port


def free_port(ip='127.0.0.1'):
    return common_port([ip])


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, 'w', encoding='utf-8')

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, *words):
        line = f'{self.now():9.3f} ' + ' '.join(map(str, words))
        self.file.write(line + '\n')
        self.file.flush()

    def say(self, *words):
        self(*words)
        print(*words, flush=True)


async def serve_http(ip, port, handle):
    """Serve HTTP/1.1; handle(method, path, query, headers, body)."""

    async def connection(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode().split('\r\n')
                method, target, _ = lines[0].split(' ', 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(':')
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(
                    int(headers.get('content-length', 0))
                )
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                status, answer = await handle(
                    method, url.path, query, headers, body
                )
                content = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(content)}\r\n\r\n'.encode()
                    + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, ip, port, limit=2**22)


class Store:
    """The platform's table store."""

    def __init__(self):
        self.rows = {}
        self.version = 1
        self.changes = []
        self.changed = asyncio.Event()

    def put(self, table, key, content):
        self.version += 1
        row = {
            'table': table,
            'part': '',
            'key': key,
            'value': base64.b64encode(content).decode(),
            'ver': self.version,
        }
        self.rows[table, key] = row
        self._announce(row)

    def drop(self, table, key):
        if self.rows.pop((table, key), None) is not None:
            self.version += 1
            self._announce(
                {
                    'table': table,
                    'part': '',
                    'key': key,
                    'ver': self.version,
                    'deleted': True,
                }
            )

    def _announce(self, row):
        self.changes.append(row)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _answer(self, **fields):
        return {
            **fields,
            'ver': self.version,
            'now_ms': int(time.monotonic() * 1000),
        }

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if path == '/api/rows-get':
            return 200, self._answer(
                rows=[
                    row
                    for (table, key), row in sorted(self.rows.items())
                    if table == query['table']
                    and query.get('part', '') == row['part']
                    and key >= query.get('from', '')
                    and ('to' not in query or key < query['to'])
                ],
                has_more=False,
            )
        if path == '/api/rows-tx':
            return self._transact(json.loads(body))
        if path == '/api/rows-feed':
            return 200, await self._feed(query)
        return 404, {}

    def _transact(self, body):
        for wanted in body['expect_rev']:
            row = self.rows.get((wanted['table'], wanted['key']))
            if (row['ver'] if row else 0) != wanted['ver']:
                return 412, self._answer(rows=[row] if row else [])
        for row in body['set_keys']:
            self.put(row['table'], row['key'], base64.b64decode(row['value']))
        return 200, self._answer()

    async def _feed(self, query):
        after = int(query['after'])
        end = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            rows = [
                row
                for row in self.changes
                if row['ver'] > after and row['table'] == query['table']
            ]
            left = end - time.monotonic()
            if rows or left <= 0:
                return self._answer(rows=rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass


class Member:
    """A member of a database group."""

    def __init__(self, group, member_id, ip, port):
        self.group = group
        self.id = member_id
        self.ip, self.port = ip, port
        self.log = []
        self.term = 1
        self.is_primary = False
        self.paused_term = 0
        self.is_up = True
        self.is_dark = False
        self.is_deaf = False
        self.is_draining = False
        self.born_ms = int(time.time() * 1000)
        self.seq = 0
        self.writers = set()
        self.connection_count = 0
        self.server = None

    @property
    def position(self):
        return (self.log[-1][0], self.log[-1][1]) if self.log else (1, 0)

    def position_text(self):
        return '%d.%d' % self.position

    def status(self):
        role = 'primary' if self.is_primary else 'replica'
        return (
            f'{role} {self.term} {self.position_text()} {self.paused_term}'
            f' 0 0 {self.connection_count}'
        )

    async def open(self):
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=LINE_LIMIT
        )

    async def crash(self):
        """End the process: connections break and the port refuses."""
        self.is_up = False
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        self.group.record('member', self.id, 'crashes at', self.position_text())

    async def start_again(self, member_id, role_is_kept):
        """Start the process again, with its log, under another id."""
        asyncio.get_running_loop().call_later(
            3.6, self.group.store.drop, 'servers', self.id
        )
        self.id, self.is_primary = member_id, role_is_kept
        self.paused_term, self.seq = 0, 0
        self.born_ms = int(time.time() * 1000)
        self.is_up = True
        await self.open()
        self.register()
        self.group.record('member', self.id, 'is back:', self.status())

    def register(self):
        self.seq += 1
        entry = {
            'service': self.group.name,
            'addr': f'{self.ip}:{self.port}',
            'zone': 'zone-a',
            'version': '1',
            'slots': 2,
            'state': 'draining' if self.is_draining else 'ready',
            'cold_left_ms': 0,
            'seq': self.seq,
            'born': self.born_ms,
            'db_role': 'primary' if self.is_primary else 'replica',
        }
        self.group.store.put('servers', self.id, json.dumps(entry).encode())

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        self.connection_count += 1
        try:
            await _MemberSession(self, reader, writer).run()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.connection_count -= 1
            self.writers.discard(writer)
            writer.close()


class _MemberSession:
    def __init__(self, member, reader, writer):
        self.member, self.reader, self.writer = member, reader, writer
        self.state = 'I'
        self.pending = []
        self.is_read_only = False
        self.shapes = {}
        self.term = 0

    async def _line(self):
        line = (await self.reader.readuntil(b'\r\n'))[:-2].decode()
        while self.member.is_dark:
            await asyncio.sleep(0.01)
        return line

    def _send(self, *lines):
        self.writer.write(''.join(f'{line}\r\n' for line in lines).encode())

    def _ready(self):
        return f'READY {self.state} {self.member.position_text()}'

    async def run(self):
        fields = (await self._line()).split(' ')
        wrong = fields[1] != self.member.group.name or (
            len(fields) > 3 and fields[3] != self.member.id
        )
        if wrong:
            self._send(f'ERROR WRONGNODE {self.member.id}')
            return
        await asyncio.sleep(self.member.group.connect_ms / 1000)
        self._send(self._ready())
        while True:
            line = await self._line()
            if line == 'TERMINATE':
                return
            _, request_id, text = line.split(' ', 2)
            lines = await self._query(request_id, text)
            while self.member.is_dark:
                await asyncio.sleep(0.01)
            if not self.member.is_up:
                return
            self._send(*lines, self._ready())
            await self.writer.drain()

    def _fail(self, code, text='-'):
        if self.state == 'T':
            self.state = 'E'
        return [f'ERROR {code} {text}']

    async def _query(self, request_id, text):
        member = self.member
        if text.startswith('WAITLSN '):
            _, wanted, text = text.split(' ', 2)
            term, _, number = wanted.partition('.')
            if member.position < (int(term), int(number)):
                return self._fail('LAGGING')
        word, _, rest = text.partition(' ')
        if word == 'ROLLBACK':
            self.state, self.pending = 'I', []
            return ['COMPLETE -']
        if self.state == 'E':
            return ['ERROR MALFORMED failed']
        if word == 'BEGIN':
            if not rest and not member.is_primary:
                return self._fail('READONLY', member.id)
            self.state, self.pending = 'T', []
            self.is_read_only, self.term = rest == 'READ', member.term
            return ['COMPLETE -']
        if word in {'STATUS', 'PAUSE', 'RESUME', 'STEPDOWN'}:
            return self._control(word, rest)
        if word == 'DISCARD':
            self.shapes.clear()
            return ['COMPLETE -']
        if word == 'SET':
            return ['COMPLETE -']
        if word == 'PARSE':
            name, access, shape = rest.split(' ', 2)
            self.shapes[name] = (access, shape)
            return ['COMPLETE -']
        if word == 'CLOSE':
            self.shapes.pop(rest, None)
            return ['COMPLETE -']
        if word == 'COMMIT':
            return await self._commit(request_id)
        if word == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            if name not in self.shapes:
                return self._fail('NOSUCHSTMT')
            word = self.shapes[name][0]
        if word == 'READ':
            return await self._read(request_id, rest)
        return await self._write(request_id, rest)

    def _control(self, word, rest):
        member = self.member
        term = int(rest or 0)
        if word == 'PAUSE' and not member.is_primary and term > member.term:
            member.paused_term = term
        if word == 'RESUME':
            member.paused_term = 0
        if word == 'STEPDOWN' and member.is_primary and term > member.term:
            member.is_primary = False
        if word != 'STATUS':
            member.group.record(
                'member', member.id, word, rest, '->', member.status()
            )
        return [f'DATAROW {member.status()}', 'COMPLETE -']

    def _lost_lead(self):
        member = self.member
        return not member.is_primary or member.term != self.term

    async def _read(self, request_id, item):
        group = self.member.group
        await asyncio.sleep(group.read_ms / 1000)
        if self.state == 'T' and not self.is_read_only and self._lost_lead():
            return self._fail('READONLY', self.member.id)
        return [
            *(f'DATAROW {row}' for row in group.rows(self.member, item)),
            f'COMPLETE {request_id}.{self.member.id}',
        ]

    async def _write(self, request_id, rest):
        member = self.member
        await asyncio.sleep(member.group.write_ms / 1000)
        if not member.is_primary or (self.state == 'T' and self._lost_lead()):
            return self._fail('READONLY', member.id)
        item, _, data = rest.partition(' ')
        if self.state == 'T':
            self.pending.append((item, data))
            return [f'COMPLETE {request_id}.{member.id}']
        return await self._append(request_id, [(item, data)])

    async def _commit(self, request_id):
        member = self.member
        if self.state != 'T':
            return ['ERROR MALFORMED no transaction']
        pending, self.pending, self.state = self.pending, [], 'I'
        if not pending:
            return [f'COMPLETE {request_id}.{member.id}']
        await asyncio.sleep(member.group.write_ms / 1000)
        if self._lost_lead():
            return ['ERROR READONLY ' + member.id]
        return await self._append(request_id, pending)

    async def _append(self, request_id, writes):
        member = self.member
        number = member.position[1] + 1
        member.log.append((member.term, number, request_id, tuple(writes)))
        entry = member.log[-1]
        term = member.term
        member.group.commit_times[request_id] = member.group.record.now()
        member.group.record(
            'member', member.id, 'commits', f'{term}.{number}', request_id
        )
        while member.is_up and not member.group.is_received(member, entry):
            if not member.is_primary or member.term != term:
                return ['ERROR TIMEOUT lead lost']
            await asyncio.sleep(0.002)
        if not member.is_up:
            raise ConnectionError
        return [f'COMPLETE {request_id}.{member.id}']


class Group:
    """A database group with asynchronous replication, sync_replicas 1."""

    def __init__(self, name, store, record, addresses, *, lag_ms=8):
        self.name, self.store, self.record = name, store, record
        self.lag_ms = lag_ms
        self.promote_ms = 300
        self.read_ms, self.write_ms, self.connect_ms = 3, 3, 12
        self.members = [
            Member(self, f'{name}-m{index}', ip, port)
            for index, (ip, port) in enumerate(addresses)
        ]
        self.members[0].is_primary = True
        self.rows = lambda member, item: [item]
        self.promotions = []
        # Time at which each write or transaction was committed at a primary.
        self.commit_times = {}
        self._tasks = []

    @property
    def primary(self):
        leading = [each for each in self.members if each.is_primary]
        return max(leading, key=lambda each: each.term, default=None)

    async def open(self):
        for member in self.members:
            await member.open()
            member.register()
        self._tasks = [
            asyncio.create_task(self._replicate(member))
            for member in self.members
        ]
        self._tasks.append(asyncio.create_task(self._beat()))

    async def join(self, member_id, address):
        """Start a new member, which receives from its start on."""
        member = Member(self, member_id, *address)
        self.members.append(member)
        await member.open()
        self._tasks.append(asyncio.create_task(self._replicate(member)))
        member.register()
        self.record('member', member.id, 'joins')

    async def release(self, member, drain_s):
        """Have a member drain and leave."""
        member.is_draining = True
        member.register()
        self.record('member', member.id, 'drains')
        await asyncio.sleep(drain_s)
        if member.is_up:
            await member.crash()
        self.store.drop('servers', member.id)

    def is_received(self, primary, entry):
        return any(
            entry in each.log[-200:]
            for each in self.members
            if each is not primary
        )

    async def _replicate(self, replica):
        while True:
            await asyncio.sleep(self.lag_ms / 1000)
            source = self.primary
            if source is None or source is replica or replica.is_primary:
                continue
            if not (source.is_up and replica.is_up):
                continue
            if source.is_dark or replica.is_dark or replica.is_deaf:
                continue
            if replica.paused_term or replica.term > source.term:
                continue
            replica.term = source.term
            if replica.log != source.log:
                replica.log = list(source.log)

    async def _beat(self):
        while True:
            for member in self.members:
                if member.is_up and not member.is_dark:
                    member.register()
            await asyncio.sleep(1.2)

    async def promote(self, member_id):
        """Name the member that takes over; returns whether it runs."""
        member = next(
            (each for each in self.members if each.id == member_id), None
        )
        if member is None or not member.is_up:
            return False
        if not (member.is_primary and member is self.primary):
            asyncio.create_task(self._lead(member))
        return True

    async def _lead(self, member):
        await asyncio.sleep(self.promote_ms / 1000)
        if not member.is_up or member.is_primary:
            return
        term = max(each.term for each in self.members) + 1
        for each in self.members:
            each.is_primary = False
        member.is_primary, member.term, member.paused_term = True, term, 0
        self.promotions.append(
            (self.record.now(), member.id, tuple(member.log))
        )
        for each in self.members:
            if each.is_up and each is not member:
                each.log = each.log[: len(member.log)]
        self.record('member', member.id, 'leads term', term, 'at',
                    member.position_text())


class Cloud:
    """The platform's promote call, which checks fencing tokens."""

    def __init__(self, groups, record):
        self.groups, self.record = groups, record
        self.tokens = {}

    async def handle(self, method, path, query, headers, body):
        call = json.loads(body)
        token, name = int(headers['fence-token']), call['service']
        holder = headers['duty-holder']
        if token < self.tokens.get(name, 0):
            status = 409
        else:
            self.tokens[name] = token
            status = 200 if await self.groups[name].promote(call['id']) else 409
        self.record('promote', name, call['id'], holder, token, '->', status)
        return status, {}


def render_template(text, fields):
    """Fill in a settings template in the way that the pages describe."""

    def section(found):
        value = fields.get(found[2])
        is_shown = value not in (None, '', False)
        return found[3] if (found[1] == '#') == is_shown else ''

    text = re.sub(r'{{([#^])([\w.]+)}}(.*?){{/\2}}', section, text, flags=re.S)
    return re.sub(r'{{([\w.]+)}}', lambda m: str(fields.get(m[1], '')), text)


class Host:
    """A process of the system, started as the deploy file says."""

    def __init__(self, world, index):
        self.zone = f'zone-{"abcd"[index % world.zone_count]}'
        self.world, self.name = world, f'front-{self.zone}-{index + 1}'
        self.ip = f'127.0.1.{index + 1}'
        self.process = None
        self.starts = 0
        self.own_ends = []
        self.is_stopped = False

    @property
    def address(self):
        return self.ip, self.world.front_port

    def write_settings(self):
        world = self.world
        fields = {
            'node': self.name,
            'zone': self.zone,
            'ip': self.ip,
            'listen.front': f'{self.ip}:{world.front_port}',
            'listen.ready': f'{self.ip}:{world.ready_port}',
            'internal_ports.0': world.peer_port,
            'platform.addr': f'127.0.0.1:{world.store_port}',
            'cloud.addr': f'127.0.0.1:{world.cloud_port}',
            'bounds.grace_s': 6,
            'bounds.drain_ms': 7000,
            'bounds.config_apply_ms': 3000,
            'bounds.require_fence': True,
            'limits.cpu_share': 0.537,
            'limits.cores': 2,
            'limits.memory_mb': world.memory_mb,
            'limits.max_fds': 4200,
            'bootstrap': self.starts == 0,
        }
        template = (ROOT / 'deploy/host-settings.yaml').read_text()
        path = world.folder / f'{self.name}.yaml'
        path.write_text(render_template(template, fields))
        return path

    async def start(self):
        path = self.write_settings()
        log = open(self.world.folder / f'{self.name}.log', 'ab')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['MIMOSAPOND_NODE_FILE'] = str(path)
        # The run line of deploy/system.toml.
        self.process = await asyncio.create_subprocess_exec(
            'python3', '-m', 'mimosapond.platform.daemon',
            cwd=ROOT, env=environment, stdout=log, stderr=log,
        )
        log.close()
        self.starts += 1
        self.world.record('host', self.name, 'started')

    def resident_mb(self):
        try:
            pages = pathlib.Path(
                f'/proc/{self.process.pid}/statm'
            ).read_text().split()[1]
        except OSError:
            return 0
        return int(pages) * os.sysconf('SC_PAGE_SIZE') / 1e6

    async def is_ready(self, limit_s=1):
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.world.ready_port
                )
                writer.write(b'GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n')
                line = await reader.readline()
                writer.close()
                return b' 200 ' in line
        except (OSError, TimeoutError):
            return False

    def kill(self, number=signal.SIGKILL):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


class World:
    """A small deployment on loopback addresses."""

    def __init__(self, record, *, hosts=2, groups=1, memory_mb=300, lag_ms=8,
                 routes=None, zones=1):
        self.record = record
        self.zone_count = zones
        self.memory_mb = memory_mb
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.hosts = [Host(self, index) for index in range(hosts)]
        ips = [host.ip for host in self.hosts]
        self.front_port = common_port(ips)
        self.ready_port = common_port(ips)
        self.peer_port = common_port(ips)
        self.store_port, self.cloud_port = free_port(), free_port()
        self.store = Store()
        self.groups = {}
        for number in range(groups):
            name = f'db{number}'
            addresses = [
                (ip, free_port(ip))
                for ip in (f'127.0.2.{number * 3 + k + 1}' for k in range(3))
            ]
            self.groups[name] = Group(
                name, self.store, record, addresses, lag_ms=lag_ms
            )
        self.cloud = Cloud(self.groups, record)
        self.routes = routes or [
            {'name': 'r1', 'host': 'orders', 'kind': 'primary',
             'timeout_ms': 800, 'target_latency_ms': 120, 'priority': 1,
             'service': 'db0', 'max_attempts': 2},
            {'name': 'r2', 'host': 'boards', 'kind': 'bounded_stale',
             'timeout_ms': 1500, 'target_latency_ms': 400, 'priority': 2,
             'service': 'db0', 'max_attempts': 2, 'max_staleness_ms': 1500},
        ]
        self._servers = []

    def configure(self, version):
        self.store.put('op', 'config', json.dumps({
            'version': version,
            'routes': self.routes,
            'services': [
                {'name': name, 'max_conns': 32, 'sync_replicas': 1}
                for name in self.groups
            ],
            'limits': {'tx_idle_ms': 3000},
        }).encode())

    async def open(self):
        self.configure(7)
        self._servers = [
            await serve_http('127.0.0.1', self.store_port, self.store.handle),
            await serve_http('127.0.0.1', self.cloud_port, self.cloud.handle),
        ]
        for group in self.groups.values():
            await group.open()
        await asyncio.gather(*(host.start() for host in self.hosts))
        await self.wait_ready(self.hosts)

    def run_before(self, at_s):
        """Return the ids of what was committed before a time."""
        return {
            request_id
            for group in self.groups.values()
            for request_id, committed_s in group.commit_times.items()
            if committed_s < at_s
        }

    async def wait_ready(self, hosts, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all([await host.is_ready() for host in hosts]):
                return
            await asyncio.sleep(0.1)
        raise CannotRun('the hosts did not become ready')

    async def close(self):
        for host in self.hosts:
            host.is_stopped = True
            host.kill()
        for host in self.hosts:
            if host.process:
                await host.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not run."""


class Closed(Exception):
    """The host closed the connection or did not answer in time."""


class Client:
    """A session of a client."""

    def __init__(self, reader, writer, record, name):
        self.reader, self.writer = reader, writer
        self.record, self.name = record, name
        self.count = 0
        self.state = 'I'

    @classmethod
    async def open(cls, address, database, record, name, limit_s=2):
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(
                    *address, limit=LINE_LIMIT
                )
                writer.write(f'START {database} {name}\r\n'.encode())
                line = (await reader.readuntil(b'\r\n'))[:-2].decode()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            raise Closed(repr(error)) from error
        if not line.startswith('READY'):
            writer.close()
            raise Closed(line)
        return cls(reader, writer, record, name)

    async def ask(self, text, limit_s=5):
        """Send a query; return (kind, rows, rest) with kind COMPLETE or ERROR."""
        self.count += 1
        request_id = f'{self.name}.{self.count}'
        rows = []
        try:
            async with asyncio.timeout(limit_s):
                self.writer.write(f'QUERY {request_id} {text}\r\n'.encode())
                await self.writer.drain()
                while True:
                    line = (await self.reader.readuntil(b'\r\n'))[:-2].decode()
                    word, _, rest = line.partition(' ')
                    if word == 'DATAROW':
                        rows.append(rest)
                        continue
                    ready = (await self.reader.readuntil(b'\r\n')).decode()
                    self.state = ready.split(' ')[1]
                    return request_id, word, rows, rest
        except TimeoutError as error:
            self.close()
            raise Closed(f'{request_id} no answer in {limit_s} s') from error
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            raise Closed(f'{request_id} {error!r}') from error

    def close(self):
        self.writer.close()


def run_case(path, case, limit_s=110):
    """Run a case, and write its record to a path.

    Exits with 1 if the rule was broken, 0 if it held, 2 if the case failed.
    """
    record = Record(path)
    with_trouble = os.environ.get('TROUBLE', '1') != '0'
    record('trouble', with_trouble)

    def report(_, context):
        error = context.get('exception')
        if not isinstance(error, asyncio.CancelledError):
            record('stand-in:', context['message'], repr(error))

    async def bounded():
        asyncio.get_running_loop().set_exception_handler(report)
        async with asyncio.timeout(limit_s):
            return await case(record, with_trouble)

    try:
        is_broken = asyncio.run(bounded())
    except Exception as error:  # the case could not run
        record.say('could not run:', repr(error))
        sys.exit(2)
    record.say('rule broken' if is_broken else 'rule held')
    sys.exit(1 if is_broken else 0)

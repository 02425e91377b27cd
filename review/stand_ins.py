"""Stand-ins for store, promotion call, members, balancer and clients.

They need the standard library only and run in the process of a script. The
hosts are separate processes, started as the deploy file starts them. What the
users' pages say about a party is kept; where they are silent, the party
behaves like a sound one. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import signal
import socket
import sys
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = '127.0.0.1'
MS = 0.001
STABLE_WINDOW_S = 4.0


def free_port(ip=LOOPBACK):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self.started_s = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_s

    def add(self, who, text):
        self._file.write(f'{self.now():8.3f} {who}: {text}\n')
        self._file.flush()


class HttpServer:
    """HTTP/1.1 with one request for each connection."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None

    async def start(self, ip, port):
        self._server = await asyncio.start_server(self._serve, ip, port)

    async def _serve(self, reader, writer):
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            lines = head.decode().split('\r\n')
            method, target, _ = lines[0].split(' ')
            headers = dict(
                line.lower().split(': ', 1) for line in lines[1:] if ': ' in line
            )
            length = int(headers.get('content-length', 0))
            body = await reader.readexactly(length) if length else b''
            url = urlsplit(target)
            query = {key: value[0] for key, value in parse_qs(url.query).items()}
            status, answer = await self._handle(
                method, url.path, query, json.loads(body or b'{}'), headers
            )
            content = json.dumps(answer).encode()
            writer.write(
                f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                f'Content-Length: {len(content)}\r\nConnection: close\r\n\r\n'
                .encode() + content
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Store:
    """The platform's store: tables with versions, transactions and a feed."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 10
        self._changed = asyncio.Event()
        self.server = HttpServer(self._handle)

    def put(self, table, key, value):
        """Write a row as the operator or a member; None drops it."""
        self.version += 1
        self.rows[table, key] = (
            None if value is None else json.dumps(value).encode(), self.version
        )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def value(self, table, key):
        content = self.rows.get((table, key), (None, 0))[0]
        return None if content is None else json.loads(content)

    def _encode(self, table, key):
        content, version = self.rows[table, key]
        row = {'table': table, 'part': '', 'key': key, 'ver': version}
        if content is None:
            return {**row, 'deleted': True}
        return {**row, 'value': base64.b64encode(content).decode()}

    async def _handle(self, method, path, query, body, headers):
        if path == '/api/rows-feed':
            return await self._feed(query)
        if path == '/api/rows-tx':
            await asyncio.sleep(8 * MS)
            return self._transact(body)
        await asyncio.sleep(4 * MS)
        if path != '/api/rows-get':
            return 404, {}
        first, end = query.get('from', ''), query.get('to')
        rows = [
            self._encode(table, key)
            for table, key in sorted(self.rows)
            if table == query['table'] and key >= first
            and (end is None or key < end)
            and self.rows[table, key][0] is not None
        ]
        return 200, {'rows': rows, 'has_more': False, **self._stamp()}

    async def _feed(self, query):
        end_s = time.monotonic() + int(query['wait_ms']) * MS
        while True:
            rows = [
                self._encode(table, key)
                for table, key in sorted(
                    self.rows, key=lambda each: self.rows[each][1]
                )
                if table == query['table']
                and self.rows[table, key][1] > int(query['after'])
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                return 200, {'rows': rows, **self._stamp()}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transact(self, body):
        for row in body['expect_rev']:
            current = self.rows.get((row['table'], row['key']), (None, 0))
            version = current[1] if current[0] is not None else 0
            if version != row['ver']:
                return 412, {'rows': [], **self._stamp()}
        self.version += 1
        for row in body['set_keys']:
            self.rows[row['table'], row['key']] = (
                base64.b64decode(row['value']), self.version
            )
            if row['table'] != 'mimosapond-hosts':
                content = base64.b64decode(row['value']).decode()
                self.record.add('store', f'{row["key"]} = {content}')
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return 200, self._stamp()

    def _stamp(self):
        return {'ver': self.version, 'now_ms': int(time.monotonic() * 1000)}


class Promotion:
    """The call that promotes a member; lower tokens are refused."""

    def __init__(self, record, groups):
        self._record = record
        self._groups = groups
        self._tokens = {}
        self.server = HttpServer(self._handle)

    async def _handle(self, method, path, query, body, headers):
        token, holder = int(headers['fence-token']), headers['duty-holder']
        group = self._groups[body['service']]
        member = group.members.get(body['id'])
        if token < self._tokens.get(group.name, 0):
            self._record.add('promotion', f'409 {holder} {token} {body["id"]}')
            return 409, {}
        self._tokens[group.name] = token
        self._record.add('promotion', f'200 {holder} {token} {body["id"]}')
        if member is None or not member.runs:
            return 409, {}
        if not member.is_primary:
            await asyncio.sleep(group.promote_s)
            group.lead(member)
        return 200, {}


class Group:
    """A database group; a commit is acknowledged once one replica has it."""

    def __init__(self, name, store, record, *, max_conns=32, promote_s=0.3):
        self.name, self.store, self.record = name, store, record
        self.max_conns, self.promote_s = max_conns, promote_s
        self.term = 1
        self.members = {}

    async def add(self, member_id, zone, *, is_primary=False):
        member = Member(self, member_id, zone)
        member.is_primary = is_primary
        self.members[member_id] = member
        await member.start()
        return member

    @property
    def primary(self):
        return next((m for m in self.members.values() if m.is_primary), None)

    def lead(self, member):
        self.term += 1
        for other in self.members.values():
            other.is_primary = False
            if other is not member:
                count = 0
                for mine, its in zip(member.log, other.log):
                    if mine is not its:
                        break
                    count += 1
                del other.log[count:]
                other.applied = min(other.applied, count)
            other.wake()
        member.is_primary, member.paused_term = True, 0
        member.applied = len(member.log)
        self.record.add('group', f'{member.member_id} leads term {self.term}')
        for other in self.members.values():
            other.register()


class Member:
    """One member: wire, log, slots, role and registration."""

    slots, work_s, heartbeat_s = 2, 0.003, 1.2

    def __init__(self, group, member_id, zone):
        self.group, self.member_id, self.zone = group, member_id, zone
        self.port = free_port()
        self.log, self.applied = [], 0
        self.is_primary = self.is_draining = False
        self.runs = True
        self.paused_term = 0
        self.delay_of = lambda request_id, text: self.work_s
        self._busy = asyncio.Semaphore(self.slots)
        self._connections = set()
        self._tasks = set()
        self._changed = asyncio.Event()
        self._seq = 0

    def wake(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port
        )
        self.register()
        self._spawn(self._heartbeat())
        self._spawn(self._receive())

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def end(self):
        """Stop for good, as a process that is killed or exits."""
        self.runs = self.is_primary = False
        self._server.close()
        for writer in tuple(self._connections):
            writer.transport.abort()
        self.wake()

    def register(self):
        if self.runs:
            self._seq += 1
            self.group.store.put('servers', self.member_id, {
                'service': self.group.name, 'addr': f'{LOOPBACK}:{self.port}',
                'zone': self.zone, 'version': 'v1', 'slots': self.slots,
                'state': 'draining' if self.is_draining else 'ready',
                'cold_left_ms': 0, 'seq': self._seq, 'born': 1,
                'db_role': 'primary' if self.is_primary else 'replica',
            })

    async def _heartbeat(self):
        while self.runs:
            await asyncio.sleep(self.heartbeat_s)
            self.register()
        # The entry of a silent member is removed after three intervals.
        await asyncio.sleep(3 * self.heartbeat_s)
        self.group.store.put('servers', self.member_id, None)

    async def _receive(self):
        """Receive the commits of the primary, and apply them a little later."""
        while self.runs:
            await asyncio.sleep(0.001)
            primary = self.group.primary
            if primary in (None, self) or self.paused_term or not primary.runs:
                continue
            if len(primary.log) > len(self.log):
                self.log.extend(primary.log[len(self.log):])
                primary.wake()
                asyncio.get_running_loop().call_later(
                    0.008, self._apply, len(self.log)
                )

    def _apply(self, count):
        self.applied = max(self.applied, min(count, len(self.log)))

    def _position(self, count):
        term = self.log[count - 1][0] if count else 1
        return f'{term}.{count}'

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            line = (await reader.readuntil(b'\r\n'))[:-2].decode()
            words = line.split(' ')
            if words[:2] != ['START', self.group.name] or (
                words[3:] and words[3] != self.member_id
            ):
                writer.write(f'ERROR WRONGNODE {self.member_id}\r\n'.encode())
                return
            if len(self._connections) > self.group.max_conns:
                writer.write(b'ERROR CONNLIMIT full\r\n')
                return
            session = {'state': 'I', 'writes': [], 'plain': False, 'names': {}}
            writer.write(f'READY I {self._position(self.applied)}\r\n'.encode())
            while self.runs:
                line = (await reader.readuntil(b'\r\n'))[:-2].decode()
                if line == 'TERMINATE':
                    return
                _, request_id, text = line.split(' ', 2)
                lines = await self._run(session, request_id, text)
                if not self.runs:
                    return
                ready = f'READY {session["state"]} {self._position(self.applied)}'
                writer.write(''.join(f'{each}\r\n' for each in [*lines, ready]).encode())
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _run(self, session, request_id, text):
        word, _, rest = text.partition(' ')
        if word == 'WAITLSN':
            wanted, _, text = rest.partition(' ')
            term, number = map(int, wanted.split('.'))
            own = tuple(map(int, self._position(self.applied).split('.')))
            if own < (term, number):
                return ['ERROR LAGGING behind']
            return await self._run(session, request_id, text)
        if word in ('STATUS', 'PAUSE', 'RESUME', 'STEPDOWN'):
            return self._control(word, rest)
        if word == 'BEGIN':
            if not rest and not self.is_primary:
                return [f'ERROR READONLY {self.member_id}']
            session.update(state='T', writes=[], plain=not rest)
            return ['COMPLETE -']
        if word == 'ROLLBACK':
            session.update(state='I', writes=[])
            return ['COMPLETE -']
        if word == 'PARSE':
            name, _, shape = rest.partition(' ')
            session['names'][name] = shape
            return ['COMPLETE -']
        if word in ('SET', 'CLOSE', 'DISCARD'):
            if word == 'DISCARD':
                session['names'].clear()
            return ['COMPLETE -']
        return await self._run_work(session, request_id, word, rest, text)

    async def _run_work(self, session, request_id, word, rest, text):
        if word == 'EXECUTE':
            name, _, arguments = rest.partition(' ')
            if name not in session['names']:
                return ['ERROR NOSUCHSTMT unknown']
            word = session['names'][name].split(' ')[0]
            rest = arguments
        needs_lead = word == 'WRITE' or (session['state'] == 'T' and session['plain'])
        if needs_lead and not self.is_primary:
            if session['state'] == 'T':
                session['state'] = 'E'
            return [f'ERROR READONLY {self.member_id}']
        self.group.record.add(self.member_id, f'runs {request_id} {text[:60]}')
        async with self._busy:
            await asyncio.sleep(self.delay_of(request_id, text))
        if not self.runs:
            return []
        if needs_lead and not self.is_primary:
            return [f'ERROR READONLY {self.member_id}']
        self.group.record.add(self.member_id, f'has run {request_id}')
        signed = f'COMPLETE {self.member_id}.{request_id}'
        if word == 'READ':
            return [f'DATAROW {self._read(rest.strip())}', signed]
        if word == 'WRITE':
            item, _, data = rest.partition(' ')
            session['writes'].append((item, data))
            if session['state'] == 'T':
                return [signed]
        writes = session['writes']
        session.update(state='I', writes=[])
        if writes and not await self._commit(request_id, writes):
            return ['ERROR TIMEOUT no replica']
        return [signed]

    def _read(self, item):
        found = '-'
        for _, _, writes in self.log[:self.applied]:
            for name, data in writes:
                found = data if name == item else found
        return found

    async def _commit(self, request_id, writes):
        entry = (self.group.term, request_id, writes)
        self.log.append(entry)
        number = len(self.log)
        while self.is_primary and self.runs:
            if any(
                len(other.log) >= number for other in self.group.members.values()
                if other is not self and other.runs
            ):
                self.applied = max(self.applied, number)
                self.group.record.add(self.member_id, f'commits {request_id}')
                return True
            await asyncio.wait_for(self._changed.wait(), None)
        return False

    def _control(self, word, rest):
        if word == 'PAUSE' and not self.is_primary and int(rest) > self.group.term:
            self.paused_term = int(rest)
        elif word == 'RESUME':
            self.paused_term = 0
        elif word == 'STEPDOWN' and int(rest) > self.group.term:
            self.is_primary = False
        role = 'primary' if self.is_primary else 'replica'
        received = self._position(len(self.log))
        if word != 'STATUS':
            self.group.record.add(self.member_id, f'{word} {rest}')
        return [
            f'DATAROW {role} {self.group.term} {received} {self.paused_term} 0 0 '
            f'{len(self._connections)}', 'COMPLETE -',
        ]


class Host:
    """A host process, started with the command of the deploy file."""

    def __init__(self, number, zone, ports, folder, record):
        self.name, self.zone = f'front-{zone}-{number}', zone
        self.ip = f'127.0.1.{number}'
        self.ports, self.folder, self.record = ports, folder, record
        self.process = None
        self.in_rotation, self._misses = True, 0

    async def start(self):
        path = self.folder / f'{self.name}.yaml'
        path.write_text(self._settings(), encoding='utf-8')
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG') if key in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['MIMOSAPOND_NODE_FILE'] = str(path)
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        log = open(self.folder / f'{self.name}.log', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, '-m', 'mimosapond.platform.daemon',
            cwd=ROOT, env=environment, stdout=log, stderr=log,
        )
        log.close()
        self.record.add(self.name, 'started')

    def signal(self, number):
        self.record.add(self.name, f'gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    @property
    def runs(self):
        return self.process is not None and self.process.returncode is None

    async def is_ready(self):
        try:
            async with asyncio.timeout(0.9):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ports['ready']
                )
                writer.write(b'GET /api/ready HTTP/1.1\r\nHost: x\r\n'
                             b'Connection: close\r\n\r\n')
                line = await reader.readline()
                writer.close()
                return b' 200 ' in line
        except (OSError, TimeoutError):
            return False

    async def balance(self):
        """Ask once a second; two misses take the host out of rotation."""
        while True:
            is_ready = await self.is_ready()
            self._misses = 0 if is_ready else self._misses + 1
            if self.in_rotation != (self._misses < 2):
                self.in_rotation = self._misses < 2
                self.record.add(self.name, f'in rotation: {self.in_rotation}')
            await asyncio.sleep(1)

    def _settings(self):
        fields = {
            'node': self.name, 'zone': self.zone, 'ip': self.ip,
            'listen.front': f'{self.ip}:{self.ports["front"]}',
            'listen.ready': f'{self.ip}:{self.ports["ready"]}',
            'internal_ports.0': str(self.ports['peer']),
            'platform.addr': f'{LOOPBACK}:{self.ports["store"]}',
            'cloud.addr': f'{LOOPBACK}:{self.ports["cloud"]}',
            'bounds.grace_s': '6', 'bounds.drain_ms': '7000',
            'bounds.config_apply_ms': '3000', 'bounds.require_fence': 'true',
            'limits.cpu_share': '0.537', 'limits.cores': '2',
            'bootstrap': 'false',
        }
        template = (ROOT / 'deploy' / 'settings.yaml').read_text(encoding='utf-8')
        template = re.sub(
            r'{{([#^])([\w.]+)}}(.*?){{/\2}}',
            lambda found: found[3]
            if (found[1] == '#') == (fields[found[2]] == 'true') else '',
            template,
        )
        return re.sub(r'{{([\w.]+)}}', lambda found: fields[found[1]], template)


class Client:
    """A session, as the protocol page describes clients."""

    def __init__(self, name, host, record):
        self.name, self.host, self.record = name, host, record
        self.state = None

    async def open(self, database):
        self._reader, self._writer = await asyncio.open_connection(
            self.host.ip, self.host.ports['front']
        )
        self._writer.write(f'START {database} {self.name}\r\n'.encode())
        line = await self._line(2.0)
        if not line or not line.startswith('READY'):
            return False
        self.state = 'I'
        return True

    async def ask(self, request_id, text, limit_s=5.0):
        """Return the lines of the answer; None if the connection ended."""
        self.record.add(self.name, f'sends {request_id} {text}')
        lines = []
        try:
            self._writer.write(f'QUERY {request_id} {text}\r\n'.encode())
            while not lines or not lines[-1].startswith('READY'):
                line = await self._line(limit_s)
                if line is None:
                    self.record.add(self.name, f'got no answer to {request_id}: '
                                    'the connection ended')
                    self.state = None
                    return None
                lines.append(line)
        except OSError as error:
            self.record.add(self.name, f'got no answer to {request_id}: {error!r}')
            self.state = None
            return None
        self.state = lines[-1].split(' ')[1]
        self.record.add(self.name, f'gets {request_id}: {" | ".join(lines)}')
        return lines

    async def _line(self, limit_s):
        try:
            async with asyncio.timeout(limit_s):
                line = await self._reader.readuntil(b'\r\n')
        except (OSError, asyncio.IncompleteReadError):
            return None
        return line[:-2].decode()

    def close(self):
        self._writer.close()


class Deployment:
    """A small deployment: store, promotion call, one group and some hosts."""

    def __init__(self, folder, record_path, *, hosts=3, routes=()):
        self.record = Record(record_path)
        self.store = Store(self.record)
        self.group = Group('huvo11a', self.store, self.record)
        self.promotion = Promotion(self.record, {self.group.name: self.group})
        ports = {'store': free_port(), 'cloud': free_port()}
        for name in ('front', 'ready', 'peer'):
            ports[name] = free_port('127.0.1.1')
        self.ports = ports
        zones = ('suva', 'nausori', 'lautoka')
        self.hosts = [
            Host(number + 1, zones[number % 3], ports, folder, self.record)
            for number in range(hosts)
        ]
        self._routes = routes
        self._tasks = []

    async def start(self):
        await self.store.server.start(LOOPBACK, self.ports['store'])
        await self.promotion.server.start(LOOPBACK, self.ports['cloud'])
        for number, zone in enumerate(('suva', 'nausori', 'lautoka')):
            await self.group.add(f'i-{number + 1}', zone, is_primary=not number)
        self.configure(1, self._routes)
        for host in self.hosts:
            await host.start()
        end_s = time.monotonic() + 15
        while not all([await host.is_ready() for host in self.hosts]):
            if time.monotonic() > end_s:
                raise RuntimeError('the hosts did not become ready')
            await asyncio.sleep(0.1)
        self._tasks = [asyncio.create_task(host.balance()) for host in self.hosts]

    def configure(self, version, routes):
        self.store.put('op', 'config', {
            'version': version, 'routes': list(routes),
            'services': [{'name': self.group.name, 'health_path': '/health',
                          'max_conns': self.group.max_conns, 'protocol': 'h1',
                          'tls': False, 'sync_replicas': 1}],
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 262144,
                       'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
                       'tx_idle_ms': 3000},
        })

    async def close(self):
        for task in self._tasks:
            task.cancel()
        for host in self.hosts:
            if host.runs:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                await host.process.wait()


def route(database, kind, group='huvo11a', timeout_ms=800, staleness_ms=None):
    found = {'name': f'r-{database}', 'host': database, 'prefix': '/',
             'kind': kind, 'timeout_ms': timeout_ms, 'target_latency_ms': 200,
             'priority': 1, 'service': group, 'max_attempts': 2}
    return found if staleness_ms is None else {
        **found, 'max_staleness_ms': staleness_ms
    }

"""Starts the stand-ins and hosts of an example.

``python -m loadtool.examples_up --deployment forge`` starts the platform, the
members of ``examples/forge/service.yaml`` and one host for each settings file,
and ends them all when it is interrupted. It applies no document: that is an
operator's step, see docs/getting-started.md.
"""

import asyncio
import os
import pathlib
import signal
import sys
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Final, Never, final

import fire

from loadtool.deployment_spec import FORGE, GEMLAB, DeploymentSpec
from mimosapond.cli_connection import SECRET_VARIABLE
from mimosapond.document_loader import parse_document
from mimosapond.exit_code import ExitCode
from mimosapond.file_problem import InvalidFile
from mimosapond.group_spec import GroupSpec
from mimosapond.options import Options
from mimosapond.service_document import ServiceDocument
from mimosapond.settings_loader import load_settings
from standins.member_settings import MemberSettings
from standins.processes import Processes

_EXAMPLES: Final = pathlib.Path(__file__).parent.parent / 'examples'
_SPECS: Final[Mapping[str, DeploymentSpec]] = MappingProxyType(
    {'forge': FORGE, 'gemlab': GEMLAB},
)


@final
class Example:
    """Files of one example, validated like a host and the CLI do."""

    def __init__(self, folder: pathlib.Path, spec: DeploymentSpec) -> None:
        """Read the files; ``problems`` lists what is invalid in them."""
        self._spec = spec
        self._invalid_files: list[InvalidFile] = []
        self.hosts: dict[pathlib.Path, Options] = {}
        for path in sorted(folder.glob('host-*.yaml')):
            self._read_host(path)
        self._document = folder / 'service.yaml'
        found = parse_document(self._document.read_text(encoding='utf-8'))
        self.groups: tuple[GroupSpec, ...] = ()
        match found:
            case InvalidFile():
                self._invalid_files.append(found)
            case ServiceDocument(groups=groups):
                self.groups = groups

    @property
    def problems(self) -> list[str]:
        """Problems of all files; empty if all are valid."""
        return [
            str(one)
            for invalid in self._invalid_files
            for one in invalid.problems
        ]

    @property
    def platform_address(self) -> str:
        """Address of the platform in the settings of the hosts."""
        return next(iter(self.hosts.values())).platform_address

    def members(self) -> Iterator[MemberSettings]:
        """Yield the settings of each member stand-in."""
        for group in self.groups:
            addresses = [member.address for member in group.members]
            for member in group.members:
                yield MemberSettings(
                    name=member.name,
                    group=group.name,
                    address=member.address,
                    peers=tuple(
                        one for one in addresses if one != member.address
                    ),
                    schema=self._spec.schema,
                    primary=member == group.members[0],
                    slot_count=member.slot_count,
                    connection_limit_count=member.connection_limit_count,
                    connect_delay_ms=self._spec.connect_delay_ms,
                    lag_ms=self._spec.lag_ms,
                )

    def _read_host(self, path: pathlib.Path) -> None:
        found = load_settings(path)
        if isinstance(found, InvalidFile):
            self._invalid_files.append(found)
        else:
            self.hosts[path] = found


async def _serve(example: Example, output: pathlib.Path | None) -> None:
    ended = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, ended.set)
    async with Processes(output) as processes:
        await processes.start_platform(example.platform_address)
        await asyncio.gather(
            *map(processes.start_member, example.members()),
        )
        await asyncio.gather(
            *(
                processes.start(
                    options.host_name,
                    'mimosapond.daemon',
                    [f'--settings={path}'],
                    f'http://{options.operator_address}/v1/status',
                )
                for path, options in example.hosts.items()
            ),
        )
        _report(example, processes)
        await ended.wait()


def _report(example: Example, processes: Processes) -> None:
    for options in example.hosts.values():
        sys.stdout.write(
            f'{options.host_name}: callers {options.caller_address}, '
            f'operators {options.operator_address}\n',
        )
    sys.stdout.write(
        f'output of the processes: {processes.folder}\n'
        'ready; interrupt to end all processes\n',
    )
    sys.stdout.flush()


def run(deployment: str = 'forge', output: str = '') -> None:
    """Start the processes of an example and run them until interrupted.

    Parameters
    ----------
    deployment
        ``forge`` or ``gemlab``.
    output
        Folder for the output of the processes; a temporary one by default.
    """
    spec = _SPECS.get(str(deployment))
    if spec is None:
        _fail('use --deployment forge or --deployment gemlab')
    if SECRET_VARIABLE not in os.environ:
        _fail(f'set {SECRET_VARIABLE} to a text of at least 16 characters')
    example = Example(_EXAMPLES / str(deployment), spec)
    if example.problems:
        _fail('\n'.join(example.problems))
    asyncio.run(_serve(example, _folder(output)))


def _folder(output: str) -> pathlib.Path | None:
    if not output:
        return None
    folder = pathlib.Path(output)
    folder.mkdir(parents=True, exist_ok=True)
    return folder


def _fail(problem: str) -> Never:
    sys.stderr.write(f'error: {problem}\n')
    sys.exit(int(ExitCode.BAD_USAGE))


if __name__ == '__main__':
    fire.Fire(run, name='examples_up')

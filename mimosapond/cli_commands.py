"""Commands for settings, targets, groups and hosts."""

import pathlib
from collections.abc import Mapping
from typing import Any, Final, final

from mimosapond.cli_connection import CliConnection, url_path
from mimosapond.cli_report import CliReport, Deferred, done, invalid
from mimosapond.file_problem import InvalidFile
from mimosapond.settings_loader import load_settings
from mimosapond.text_arguments import text_arguments

_POST: Final = 'POST'


@final
class SettingsCommands:
    """Check settings files."""

    @text_arguments
    def validate(self, path: str) -> Deferred:
        """Check a settings file without starting a host."""
        return Deferred(lambda: _validate_settings(path))


@final
class TargetCommands:
    """Stop and resume new work for targets."""

    def __init__(self, connection: CliConnection) -> None:
        """Set the connection that all commands share."""
        self._connection = connection

    @text_arguments
    def drain(self, name: str) -> Deferred:
        """Stop sending new work to a target."""
        return self._change_target(name, 'drain')

    @text_arguments
    def undrain(self, name: str) -> Deferred:
        """Resume sending work to a target."""
        return self._change_target(name, 'undrain')

    def _change_target(self, name: str, action: str) -> Deferred:
        path = url_path('targets', name, action)
        return Deferred(
            lambda: self._connection.operate(_POST, path, {}, _show_target)
        )


@final
class GroupCommands:
    """Change the primary of a group."""

    def __init__(self, connection: CliConnection) -> None:
        """Set the connection that all commands share."""
        self._connection = connection

    @text_arguments
    def promote(self, group: str, member: str) -> Deferred:
        """Make a member the primary of its group."""
        path = url_path('groups', group, 'promote')
        return Deferred(
            lambda: self._connection.operate(
                _POST, path, {'member': member}, _show_view
            )
        )


@final
class HostCommands:
    """Shut down hosts gracefully."""

    def __init__(self, connection: CliConnection) -> None:
        """Set the connection that all commands share."""
        self._connection = connection

    def drain(self) -> Deferred:
        """Start the graceful shutdown of the host at --host."""
        return Deferred(
            lambda: self._connection.operate(
                _POST, url_path('drain'), {}, _show_host_drain
            )
        )


def _validate_settings(path: str) -> CliReport:
    loaded = load_settings(pathlib.Path(path))
    if isinstance(loaded, InvalidFile):
        return invalid(path, loaded)
    return done(f'the settings of {loaded.host_name} are valid')


def _show_target(body: Mapping[str, Any]) -> str:
    state = 'is leaving' if body['is_leaving'] else 'takes work again'
    return f'{body["member"]} {state}'


def _show_view(body: Mapping[str, Any]) -> str:
    return (
        f'{body["group"]} has the primary {body["primary"]} '
        f'at term {body["term"]}'
    )


def _show_host_drain(body: Mapping[str, Any]) -> str:
    return f'host {body["host_id"]} is shutting down'

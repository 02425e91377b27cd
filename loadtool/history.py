"""The recorded requests and observations of a run, stored as JSON lines."""

import json
import pathlib
from typing import Final, Self, TypeAlias, final

from loadtool.history_events import (
    DocumentSeen,
    HostStopped,
    TargetLeft,
    TermAdopted,
)
from loadtool.history_record import HistoryRecord
from mimosapond.codec import CONVERTER, dump_json, encode

HistoryLine: TypeAlias = (
    HistoryRecord | TermAdopted | DocumentSeen | TargetLeft | HostStopped
)
_TYPES: Final[tuple[type[HistoryLine], ...]] = (
    HistoryRecord,
    TermAdopted,
    DocumentSeen,
    TargetLeft,
    HostStopped,
)


@final
class History:
    """Collects the lines of a run by type, each type in recording order."""

    def __init__(self) -> None:
        """Start without any lines."""
        self.records: list[HistoryRecord] = []
        self.terms: list[TermAdopted] = []
        self.documents: list[DocumentSeen] = []
        self.departures: list[TargetLeft] = []
        self.stops: list[HostStopped] = []

    def add(self, line: HistoryLine) -> None:
        """Append a line to the list of its type."""
        match line:
            case HistoryRecord():
                self.records.append(line)
            case TermAdopted():
                self.terms.append(line)
            case DocumentSeen():
                self.documents.append(line)
            case TargetLeft():
                self.departures.append(line)
            case HostStopped():
                self.stops.append(line)

    def save(self, path: pathlib.Path) -> None:
        """Write each line as a JSON object with its class name in ``type``."""
        lines = (
            *self.records,
            *self.terms,
            *self.documents,
            *self.departures,
            *self.stops,
        )
        with path.open('w', encoding='utf-8') as sink:
            for line in lines:
                tagged = {'type': type(line).__name__, **encode(line)}
                sink.write(f'{dump_json(tagged)}\n')

    @classmethod
    def load(cls, path: pathlib.Path) -> Self:
        """Read a file that ``save`` wrote."""
        types = {each.__name__: each for each in _TYPES}
        history = cls()
        for text in path.read_text(encoding='utf-8').splitlines():
            payload = json.loads(text)
            line_type = types[payload.pop('type')]
            history.add(CONVERTER.structure(payload, line_type))
        return history

"""Converts service documents to the JSON and YAML that operators write."""

import json
from typing import Any, Final

import yaml

from mimosapond.codec import dump_json, encode
from mimosapond.document_loader import SCHEMA_VERSION
from mimosapond.service_document import ServiceDocument

# Set when an edit is accepted; document files must not contain them.
_SYSTEM_FIELDS: Final = ('revision', 'change_id')


def document_body(document: ServiceDocument) -> dict[str, Any]:
    """Return the document without the fields that the system sets.

    The result is the JSON form of a document file, schema version included.
    """
    fields = encode(document)
    for name in _SYSTEM_FIELDS:
        fields.pop(name)
    return {'schema_version': SCHEMA_VERSION, **fields}


def document_text(document: ServiceDocument) -> str:
    """Return the document as the YAML text of a document file."""
    # Converted through JSON, since PyYAML's safe dumper rejects tuples.
    body = json.loads(dump_json(document_body(document)))
    return str(yaml.safe_dump(body, sort_keys=False))

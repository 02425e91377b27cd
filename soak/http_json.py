"""JSON calls to the stand-ins."""

import json
from collections.abc import Mapping
from typing import Any

from tornado.httpclient import AsyncHTTPClient


async def post_json(url: str, body: Mapping[str, Any]) -> None:
    """Make a call whose answer holds nothing of interest."""
    await AsyncHTTPClient().fetch(url, method='POST', body=json.dumps(body))


async def get_json(url: str) -> Any:
    """Return the body of an answer."""
    found = await AsyncHTTPClient().fetch(url)
    return json.loads(found.body)

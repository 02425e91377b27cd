"""HTTP calls with JSON bodies to the stand-ins."""

import json
from collections.abc import Mapping
from typing import Any

from tornado.httpclient import AsyncHTTPClient


async def post_json(url: str, body: Mapping[str, Any]) -> None:
    """Post a JSON body and ignore the body of the answer."""
    await AsyncHTTPClient().fetch(url, method='POST', body=json.dumps(body))


async def get_json(url: str) -> Any:
    """Fetch ``url`` and return the decoded JSON body."""
    found = await AsyncHTTPClient().fetch(url)
    return json.loads(found.body)

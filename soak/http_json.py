"""HTTP calls with JSON bodies to the stand-ins."""

import json
from collections.abc import Mapping
from typing import Any

from tornado.httpclient import AsyncHTTPClient


async def post_json(url: str, body: Mapping[str, Any]) -> Any:
    """Post a JSON body and return the decoded body of the answer."""
    found = await AsyncHTTPClient().fetch(
        url, method='POST', body=json.dumps(body)
    )
    return json.loads(found.body or 'null')


async def get_json(url: str) -> Any:
    """Fetch ``url`` and return the decoded JSON body."""
    found = await AsyncHTTPClient().fetch(url)
    return json.loads(found.body)

"""``mulberrycleat where``: where a request would go now, without sending it."""

from __future__ import annotations

import json
from typing import Any

import click
import msgspec
import trio
from result import Err, Ok, Result

from mulberrycleat.cli.session import EXIT_BAD_INPUT, EXIT_UNAVAILABLE, fail, json_option
from mulberrycleat.core import PeerError
from mulberrycleat.entry.explanation import WHERE_PATH, PlacementQuery
from mulberrycleat.web import HttpClient
from mulberrycleat.web.client import HttpAnswer

__all__ = ["where"]

# Longest wait for the host, in seconds; it answers from memory.
TIMEOUT_S = 3.0
OK = 200
COLUMNS = (
    "score_s",
    "expected_s",
    "reprefill_s",
    "zone_s",
    "failure_s",
    "in_flight",
    "other_requests",
    "slots",
    "slowness",
)


@click.command()
@click.argument("address")
@click.argument("host")
@click.argument("path")
@click.option("--prompt-tokens", default=0, help="Length of the prompt, in tokens.")
@click.option(
    "--part",
    "parts",
    type=(str, click.IntRange(min=0)),
    multiple=True,
    help="Id and tokens of a part of the prompt; may be given several times, in order.",
)
@json_option
def where(
    address: str,
    host: str,
    path: str,
    prompt_tokens: int,
    parts: tuple[tuple[str, int], ...],
    as_json: bool,
) -> None:
    """Show where a request for HOST and PATH would go now, and why, without sending it.

    ADDRESS is that of the entry host for metrics or for the other hosts, as ip:port. The endpoint
    with the lowest score is chosen, at random among those that are nearly as good; times are in
    seconds. Exit code 2 if the host has no route for the request, 3 if it does not answer.
    """
    query = PlacementQuery(host, path, prompt_tokens, dict(parts))
    match trio.run(_ask, address, query):
        case Err(error):
            fail(EXIT_UNAVAILABLE, str(error))
        case Ok(answer) if answer.status != OK:
            fail(EXIT_BAD_INPUT, answer.body.decode("utf-8", "replace"))
        case Ok(answer):
            found = msgspec.json.decode(answer.body)
            click.echo(json.dumps(found) if as_json else describe(found))


def describe(found: dict[str, Any]) -> str:
    """Return a host's answer as a table."""
    lines = [f"route {found['route']}, from zone {found['zone']}"]
    for name, pool in found["pools"].items():
        leaving = ", ".join(f"{share:.0%} to {zone}" for zone, share in pool["leaving"].items())
        balance = "balanced between zones" if pool["balance"] else "without a balance of zones"
        lines.append(f"pool {name} (weight {pool['weight']}): {balance}; leaving: {leaving or '-'}")
        lines.append(f"  {'endpoint':<24}{'zone':<8}" + "".join(f"{c:>15}" for c in COLUMNS))
        for one in pool["candidates"]:
            figures = "".join(f"{one[column]:>15}" for column in COLUMNS)
            reason = f"  left out: {one['left_out']}" if one["left_out"] else ""
            lines.append(f"  {one['endpoint']:<24}{one['zone']:<8}{figures}{reason}")
    return "\n".join(lines)


async def _ask(address: str, query: PlacementQuery) -> Result[HttpAnswer, PeerError]:
    body = msgspec.json.encode(query)
    url = f"http://{address}{WHERE_PATH}"
    return await HttpClient().request("POST", url, body, timeout_s=TIMEOUT_S)

"""What several commands share: options, the argument WHERE, one request to a gateway."""

from collections.abc import Callable
from typing import Any

import click

from corkgauge.commands import InputError

RESULT = "The result as JSON, for programs."
ANSWERS = "The gateways' answers as they are, a list, for programs."

Decorator = Callable[[Any], Any]

several_gateways: Decorator = click.argument("where", nargs=-1, required=True)
one_gateway: Decorator = click.argument("where")
seed_option: Decorator = click.option("--seed", type=int, default=1, show_default=True)


def json_option(explanation: str = RESULT) -> Decorator:
    """`--json`, handed to the command as `as_json`."""
    return click.option("--json", "as_json", is_flag=True, help=explanation)


def ask_gateway(where: str, path: str, body: object = None) -> dict[str, Any]:
    """What a gateway's HTTP listener answers; with a body it is posted as JSON.

    `where` is a Unix socket or ADDRESS:PORT. Raises `InputError` where nothing sensible comes.
    """
    from corkgauge.accounting.client import request_json

    try:
        return request_json(where, path, "GET" if body is None else "POST", body=body)
    except (OSError, ValueError) as problem:
        raise InputError(f"{where}: {getattr(problem, 'strerror', None) or problem}") from None

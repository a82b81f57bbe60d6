"""Sends the changes of commands and prints their answers."""

import click

from currantdeal.cli.client import new_request_id


def send_change(session, method, path, body_class, *, request_id, **fields):
    """Send a change and print its answer.

    Parameters
    ----------
    body_class : type
        Class of the request's body.
    request_id : str
        Id of an earlier attempt to resend, or empty for a new change.
    fields
        Further fields of the body, with ``wait_s`` among them.
    """
    body = body_class(request_id=request_id or new_request_id(), **fields)
    click.echo(f"request id: {body.request_id}", err=True)
    answer = session.client.change(method, path, body, wait_s=body.wait_s)
    session.show(answer, _print_change)
    return answer


def _print_change(answer):
    text = f"{answer.result.lower()} at version {answer.version}"
    if answer.order_id is not None:
        text += f", order {answer.order_id}"
    if answer.in_force_s is not None:
        text += f", in force everywhere after {answer.in_force_s:.3f} s"
    click.echo(text)

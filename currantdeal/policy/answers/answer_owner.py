"""Decides to which request an answer on an HTTP connection belongs.

Failure pattern: response desynchronization.  An upstream answers a request
twice, and the second answer arrives where the answer to the next request is
expected.  HTTP/1.1 matches answers to requests by their order only, so from
then on each request receives the answer to an earlier one.
"""

from enum import Enum


class AnswerOwner(str, Enum):
    """Whose an answer is.

    Attributes
    ----------
    OWN
        The answer belongs to the request that waits for it.
    OTHER
        It bears the id of another request, or several ids.
    UNIDENTIFIED
        It bears no id and may belong to any request on its connection.
    """

    OWN = "own"
    OTHER = "other"
    UNIDENTIFIED = "unidentified"


def answer_owner(
    request_id, answer_ids, *, is_echoed, is_first, names_grant=False
):
    """Return the ``AnswerOwner`` of an answer.

    Parameters
    ----------
    request_id : bytes
        Id of the request that waits for an answer.
    answer_ids : collection of bytes
        Ids that the answer bears.
    is_echoed : bool
        Whether upstreams always repeat the id of such a request.
    is_first : bool
        Whether the request is the first one on its connection.  Nothing else
        can have been answered there, so the answer needs no id unless
        ``is_echoed``.
    names_grant : bool
        Whether an answer without an id can only belong to requests whose
        grants tell themselves apart, see ``GrantChannel``.

    Examples
    --------
    >>> answer_owner(b"r2", [b"r1"], is_echoed=True, is_first=False).value
    'other'
    >>> answer_owner(b"h1", [], is_echoed=False, is_first=True).value
    'own'
    >>> answer_owner(b"h1", [], is_echoed=False, is_first=False).value
    'unidentified'
    """
    found = set(answer_ids)
    if found:
        return AnswerOwner.OWN if found == {request_id} else AnswerOwner.OTHER
    if (is_first or names_grant) and not is_echoed:
        return AnswerOwner.OWN
    return AnswerOwner.UNIDENTIFIED

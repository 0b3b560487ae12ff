"""Pagination of list calls: sorted names; the token is the last name of the page before."""

import attrs

DEFAULT_PAGE_SIZE = 100
MAX_PAGE_SIZE = 1000


@attrs.frozen
class Page:
    """The `names` of one page and the `token` of the next, empty on the last page."""

    names: tuple[str, ...]
    token: str


def paginate(names, request):
    """Return the `Page` of `names` that a list request asks for.

    >>> from .persimmonstall_admin_pb2 import ListRequest
    >>> paginate(["c", "a", "b"], ListRequest(page_size=2))
    Page(names=('a', 'b'), token='b')
    >>> paginate(["c", "a", "b"], ListRequest(page_size=2, page_token="b"))
    Page(names=('c',), token='')
    """
    size = min(request.page_size or DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE)
    remaining = sorted(name for name in names if name > request.page_token)
    chosen = tuple(remaining[:size])
    return Page(chosen, chosen[-1] if len(remaining) > size else "")

import hashlib

import pytest

from persimmonstall_standins.fleet import SECRET, Fleet, small_catalogue
from persimmonstall_standins.virtual.loop import run


@pytest.fixture
def catalogue():
    return small_catalogue(hashlib.sha256(SECRET.encode()).hexdigest())


@pytest.fixture
def on_fleet(catalogue):
    """Return a function that runs `scenario(fleet, entry)` on virtual time.

    The fleet has one entry and `engines` endpoints.
    """

    def start(scenario, engines=3):
        async def main():
            fleet = Fleet(catalogue)
            for number in range(engines):
                await fleet.add_endpoint(f"e{number}")
            entry = await fleet.add_entry("entry1")
            result = await scenario(fleet, entry)
            await fleet.stop()
            return result

        return run(main())

    return start

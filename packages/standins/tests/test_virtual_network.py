import asyncio

from persimmonstall.failures import Failure
from persimmonstall_standins.virtual.loop import run
from persimmonstall_standins.virtual.network import Fabric

A, B = "10.0.0.1:7000", "10.0.0.2:7000"


async def connect(fabric):
    """Return the network of A, its link to B, and the end of that link at B."""
    accepted = asyncio.Queue()
    here = fabric.network(A, "dc1")
    await fabric.network(B, "dc2").listen(B, accepted.put)
    link = await here.dial(B, 1.0)
    return here, link, await accepted.get()


def test_messages_keep_their_order_after_the_delay():
    async def main():
        fabric = Fabric(delays={("dc1", "dc2"): 0.25})
        _, link, other = await connect(fabric)
        started = asyncio.get_running_loop().time()
        assert all(link.send(number) for number in range(50))
        assert [await other.receive() for _ in range(50)] == list(range(50))
        assert asyncio.get_running_loop().time() == started + 0.25
        await other.close()
        assert isinstance(await link.receive(), Failure)
        assert link.send(1) is False

    run(main())


def test_silent_link_stays_silent_while_a_new_one_works():
    async def main():
        fabric = Fabric()
        here, link, other = await connect(fabric)
        fabric.silence(A, B)
        assert link.send("lost")
        other.send("heard")
        assert await link.receive() == "heard"
        assert other.inbox.empty()
        fabric.cut(A, B)
        assert (await here.dial(B, 1.0)).detail == "timeout"
        fabric.heal(A, B)
        assert await here.dial(B, 1.0)
        fabric.kill(B)
        assert isinstance(await link.receive(), Failure)
        assert (await here.dial(B, 1.0)).detail == "refused"

    run(main())

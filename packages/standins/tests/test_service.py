import asyncio

from persimmonstall.failures import Reason
from persimmonstall.outside.service import ServiceCall
from persimmonstall_standins.service import ServiceModel, ServiceSettings
from persimmonstall_standins.virtual.loop import run

CALL = ServiceCall("c1", "file", b"{}")


def test_late_answer_has_run_and_death_is_reported():
    async def main():
        service = ServiceModel("s1")
        assert (await service.call(CALL, 5.0)).status == 200
        service.faults.answer_delay = 10.0
        assert (await service.call(CALL, 2.0)).detail == "timeout"
        assert [entry.call_id for entry in service.runs] == ["c1", "c1"]
        waiting = asyncio.create_task(service.call(CALL, 100.0))
        await asyncio.sleep(0.001)
        service.die()
        assert (await waiting).detail == "connection reset"
        assert (await service.call(CALL, 1.0)).detail == "not connected"

    run(main())


def test_full_queue_is_refused():
    async def main():
        service = ServiceModel("s1", ServiceSettings(capacity=1, queue=1, mean_seconds=50.0))
        calls = [asyncio.create_task(service.call(CALL, 1.0)) for _ in range(4)]
        answers = await asyncio.gather(*calls)
        assert Reason.BUSY in [answer.reason for answer in answers]

    run(main())

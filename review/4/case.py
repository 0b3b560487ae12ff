"""Names of tenants and models that aren't ASCII reach servers encoded twice."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins import Server, configuration, header, route, run  # noqa: E402

OLD_KEY, NEW_KEY = "k-clerks", "k-ministry"
NAMES = {True: ("Ministère", "résumé"), False: ("Ministere", "resume")}
"""The new tenant and the model that its callers name, with the disruption and without it."""

CONFIG_S = 2.0
"""`config_ms` in seconds."""


async def scenario(deployment, trouble):
    """Return whether the rule was broken."""
    record = deployment.record
    tenant, model = NAMES[trouble]
    servers = [Server(deployment.store, record, f"g{n}", "llm") for n in range(2)]
    routes = [route("summary", "streaming", "llm")]
    await deployment.start(servers, 2, configuration(7, routes, {"clerks": [OLD_KEY]}))
    tenants = {"clerks": [OLD_KEY], tenant: [NEW_KEY]}
    deployment.store.write("op", "config", configuration(8, routes, tenants))
    record.write("config", version=8, tenants=",".join(tenants))
    await asyncio.sleep(CONFIG_S + 1.0)
    sent = {}
    for number in range(20):
        key, name, wanted = ((OLD_KEY, "clerks", "m"), (NEW_KEY, tenant, model))[number % 2]
        answer = await deployment.call(
            "/summary/a",
            key,
            X_Model=wanted,
            X_Token_Count="1460,80",
            X_Prompt_Prefix=f"0a11:40,{0xC000 + number:x}:250",
        )
        sent[answer.attempt] = name, wanted
    wrong = {"X-Tenant": 0, "X-Model": 0}
    runs = [arrival for server in servers for arrival in server.arrivals]
    for _, attempt, _, pairs in runs:
        name, wanted = sent[attempt]
        seen = {what: header(pairs, what) for what in wrong}
        # The client's bytes; for the tenant's name either encoding counts as right.
        right = {
            "X-Tenant": (name.encode("utf-8"), name.encode("latin-1")),
            "X-Model": (wanted.encode("utf-8"),),
        }
        for what in wrong:
            wrong[what] += seen[what] not in right[what]
        record.write("headers", request=attempt, **{w.replace("-", "_"): s for w, s in seen.items()})
    if len(runs) < len(sent):
        raise RuntimeError("some requests did not run")
    summary = f"{len(runs)} requests ran; with another X-Tenant: {wrong['X-Tenant']}, " + (
        f"with another X-Model: {wrong['X-Model']}"
    )
    record.write("summary", text=summary)
    print(summary)
    return any(wrong.values())


if __name__ == "__main__":
    sys.exit(run(CASE, scenario))

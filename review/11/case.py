"""A gateway is stopped while requests wait in it for room: which connections end without an answer."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from fleet3 import *  # noqa: E402,F403

GRACE_S, LOSS_SLACK_S, DEADLINE_MS, CLIENTS = 6.0, 0.2, 6000, 36


async def case(record, box):
    fleet = Fleet(record)
    box.append(fleet)
    fleet.start()
    upstreams = [Upstream(record, f"i-{n}", "stockroom", f"{NET}.{100 + n}", slots=2, work_s=0.57)
                 for n in range(2)]
    for upstream in upstreams:
        await upstream.start()
    document = configuration(1, [rule("/reserve/", "stockroom")], ["stockroom"])
    if await fleet.publish(document, 30) != 200:
        raise NotRun("the configuration wasn't acknowledged")
    for upstream in upstreams:
        upstream.begin(fleet)
    front = (fleet.gateways[0], fleet.caller_port)

    async def served():
        return (await send(record, front, "POST", "/reserve/w", "w", DEADLINE_MS))[0] == 200
    await eventually("no request is served", 20, served)
    await asyncio.sleep(4)
    # Open connections of clients; those beyond the first four send nothing until the burst.
    connections = [await asyncio.open_connection(*front) for _ in range(4 + CLIENTS)]
    # Steady work that just fills the four slots: nothing waits.
    steady = True

    async def work(client):
        n = 0
        while steady:
            n += 1
            status, _, headers, _ = await send(
                record, front, "POST", f"/reserve/a{client}", f"a-{client}-{n}", DEADLINE_MS,
                connection=connections[client])
            if steady and (status is None or headers.get("connection", "").lower() == "close"):
                connections[client][1].close()
                connections[client] = await asyncio.open_connection(*front)
    workers = [asyncio.ensure_future(work(client)) for client in range(4)]
    await asyncio.sleep(6)
    term = record.now()
    if TROUBLE:
        fleet.signal("gateway-0", signal.SIGTERM)
    await asyncio.sleep(2.2)
    steady = False
    results = await asyncio.gather(*(
        send(record, front, "POST", f"/reserve/b{m}", f"b-{m}", DEADLINE_MS, connection=connections[4 + m])
        for m in range(CLIENTS)))
    await asyncio.gather(*workers)
    runs = {attempt for upstream in upstreams for _, attempt, _ in upstream.arrivals}
    lost = [n for n, (status, after_s, _, _) in enumerate(results)
            if status is None and after_s > LOSS_SLACK_S and f"b-{n}" not in runs]
    counts = {}
    for status, *_ in results:
        counts[status] = counts.get(status, 0) + 1
    record(f"answers: {counts}; SIGTERM at {term:.3f}; read whole, never passed on, connection ended "
           f"later than {LOSS_SLACK_S} s: {len(lost)}")
    if any(status == "unconnected" for status, *_ in results):
        raise NotRun("a client had no connection")
    return BROKEN if lost else HELD


main(case, FOLDER)

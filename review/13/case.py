"""One of three control machines is lost for good and replaced, and the processes of all control machines
are killed once. Later than `catch_up` after all that, a second machine is lost and replaced: can the
acknowledged configuration still be read?"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from fleet3 import *  # noqa: E402,F403

CATCH_UP_S, MARGIN_S, CONTACT_WINDOW_S, RECOVERY_S = 4.0, 1.0, 3.0, 15.0


async def case(record, box):
    fleet = Fleet(record, controls=3, gateways=1)
    box.append(fleet)
    fleet.start()

    def document(version):
        return configuration(version, [rule("/reserve/", "stockroom")], ["stockroom"])

    async def lose_and_replace(n):
        ip = fleet.controls[n]
        fleet.signal(f"control-{n}", signal.SIGKILL)
        fleet.processes[f"control-{n}"].wait()
        fleet.gone.add(ip)
        record(f"control machine {ip} is gone for good")
        await asyncio.sleep(1.0)
        number = len(fleet.controls)
        fleet.controls.append(f"{NET}.{10 + number}")
        fleet.seeds = [f"{ip}:{fleet.control_port}" for ip in fleet.controls if ip not in fleet.gone]
        fleet.start_control(number)

    if await fleet.publish(document(1), 30) != 200:
        raise NotRun("the configuration wasn't acknowledged")
    await asyncio.sleep(6)
    await lose_and_replace(0)
    await asyncio.sleep(0.05)
    if TROUBLE:
        running = (1, 2, 3)
        for n in running:
            fleet.signal(f"control-{n}", signal.SIGKILL)
        for n in running:
            fleet.processes[f"control-{n}"].wait()
        await asyncio.sleep(0.5)
        for n in running:
            fleet.start_control(n)
    back = record.now()
    if await fleet.publish(document(2), CATCH_UP_S + MARGIN_S) != 200:
        raise NotRun("no configuration was acknowledged between the two losses")
    await asyncio.sleep(back + CATCH_UP_S + MARGIN_S - record.now())
    await lose_and_replace(1)
    lost = record.now()
    await asyncio.sleep(RECOVERY_S)
    status, data = await fleet.operator("GET", "/config", limit_s=2 * CONTACT_WINDOW_S)
    version = json.loads(data)["version"] if status == 200 else None
    record(f"read {record.now() - lost:.1f} s after the last successor's start: {status}, version {version}")
    return HELD if version == document(2)["version"] else BROKEN


main(case, FOLDER)

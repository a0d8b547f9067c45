"""The leader dies, another machine freezes, and the store comes back from an older copy: do two holders use one fencing token?"""

import asyncio
import json
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lab-2"))
import lab

SERVERS = 4
MODELS = [f"m{number}" for number in range(51)]
ROOM = 3  # models of 65,100 MB in 230,000 MB
DISK_S = 1.0  # a load from a server's own disk; all models lie there
UNLOAD_S = 0.05
THAW_S = 0.3  # thaw_ms: orders that arrive so soon after their sender was thawed don't count
FREEZE_AFTER_S = 1.5  # after the leader's death
COPY_AFTER_S = 0.8  # after the freeze
DRILL_AFTER_S = 2.0  # after the first orders of the second leader
AWAY_S = 0.3  # for so long the store is away
THAW_AFTER_S = 1.0  # after the store's return
DRILL = os.environ.get("DRILL", "1") != "0"
FREEZE = os.environ.get("FREEZE", "1") != "0"


class Engine(lab.Server):
    """A model server that carries out one order at a time and counts what it accepted."""

    def __init__(self, store, record, name, orders):
        super().__init__(store, record, name, "drafts", stage="both")
        self.orders, self.accepted, self.running, self.until = orders, 0, None, 0.0
        first = int(name[2:]) * ROOM
        self.held = MODELS[first:first + ROOM]
        self.describe()

    def describe(self):
        self.entry["models"] = [{"name": model, "version": 1, "adapters": []} for model in self.held]
        self.entry["available"] = {"in_memory": [], "on_disk": MODELS}

    def settle(self):
        """Ends the running order when its time is over."""
        if self.running and asyncio.get_running_loop().time() >= self.until:
            operation, model = self.running
            self.running = None
            if operation == "load" and model not in self.held:
                self.held.append(model)
            elif operation == "unload" and model in self.held:
                self.held.remove(model)
            self.describe()
            if self.store.server.is_serving():
                self.register()

    async def answer(self, method, target, headers, body, reader, writer):
        self.settle()
        if target == "/-/report":
            report = {"stage": "both", "models": self.entry["models"], "busy": self.running is not None, "seq": self.accepted,
                      "queued": 0, "active": 0, "kv_used": 0, "kv_total": 111756, "handles": 0, "born": self.born}
            await self.send(writer, 200, {"Content-Type": "application/json"}, json.dumps(report).encode())
        elif target == "/-/order":
            await self.send(writer, self.order(json.loads(body)), {}, b"")
        elif headers.get("cowslippier-model") not in self.held:
            refusal = {"Cowslippier-Attempt-Id": headers["cowslippier-attempt-id"], "Cowslippier-Instance-Id": self.name,
                       "Cowslippier-Not-Executed": "1"}
            await self.send(writer, 421, refusal, b"")
        else:
            self.runs.append(headers["cowslippier-attempt-id"])
            await self.send(writer, 200, {**self.seal(headers), "Content-Type": "text/event-stream"}, b"id: 1\ndata: done\n\n")
        return True

    def order(self, order):
        self.orders.append((self.record.now(), self.name, order["holder"], order["fence"]))
        self.record.line(f"{self.name} gets an order: {order['operation']} {order['model']}, holder {order['holder']}, fence {order['fence']}")
        if order["operation"] == "load" and order["model"] in self.held:
            return 200
        if self.running or order.get("precondition", self.accepted) != self.accepted:
            return 409
        self.accepted += 1
        self.running = order["operation"], order["model"]
        self.until = asyncio.get_running_loop().time() + (DISK_S if order["operation"] == "load" else UNLOAD_S)
        return 202


async def caller(gateways, number, draw):
    """Asks for one rare model after the other, at any machine."""
    sent = 0
    while True:
        sent += 1
        gateway = draw.choice(gateways)
        await lab.request(gateway.front, "POST", "/draft/2f", {
            "Cowslippier-Attempt-Id": f"c{number}-{sent}", "Cowslippier-Model": draw.choice(MODELS),
            "Cowslippier-Token-Count": "300,40", "Cowslippier-Prompt-Prefix": f"a{number}:100,b{sent}:200",
            "Cowslippier-Deadline-Ms": "6000", "Api-Key": lab.KEY}, b"hi", timeout=6)
        await asyncio.sleep(0.1)


async def play(record, trouble, work, gateways):
    loop, orders = asyncio.get_running_loop(), []
    store = lab.Store()
    await store.start()
    engines = [Engine(store, record, f"i-{number}", orders) for number in range(SERVERS)]
    for engine in engines:
        await engine.start()
    routes = [lab.route("r-draft", "/draft/", "streaming", "drafts", timeout_ms=6000, slo_ms=1500, gap_target_ms=300, sticky=True)]
    store.put("op", "config", lab.config(1, routes, [lab.engine_service("drafts", MODELS)]))
    for index in (1, 2, 3):
        gateways.append(lab.Gateway(work, index, store))
        gateways[-1].start()
        await gateways[-1].wait_ready()
    first, second, frozen = gateways

    async def beat():
        last = 0.0
        while True:
            await asyncio.sleep(0.1)
            for engine in engines:
                engine.settle()
            if loop.time() - last >= 1.2 and store.server.is_serving():
                last = loop.time()
                for engine in engines:
                    engine.register()

    draw = random.Random(1)
    tasks = [asyncio.create_task(beat())]
    tasks += [asyncio.create_task(caller(gateways, number, draw)) for number in range(12)]
    await asyncio.sleep(6)
    thawed = None
    if trouble:
        first.signal(signal.SIGKILL)
        first.process.wait()
        record.line(f"{first.name}, the leader, is killed")
        await asyncio.sleep(FREEZE_AFTER_S)
        if FREEZE:
            frozen.signal(signal.SIGSTOP)
            record.line(f"{frozen.name} freezes")
        await asyncio.sleep(COPY_AFTER_S)
        copy, copied = store.copy(), loop.time()
        until = loop.time() + 8
        while loop.time() < until and sum(holder == second.name for _, _, holder, _ in orders) < 4:
            await asyncio.sleep(0.02)
        await asyncio.sleep(DRILL_AFTER_S)
        if DRILL:
            store.go_away()
            record.line("drill: the store is away")
            await asyncio.sleep(AWAY_S)
            await store.come_back(copy)
            for engine in engines:
                engine.register()
            record.line(f"the store is back from a copy that is {loop.time() - copied:.1f} s old; the servers have written again")
        await asyncio.sleep(THAW_AFTER_S)
        if FREEZE:
            frozen.signal(signal.SIGCONT)
            thawed = record.now()
            record.line(f"{frozen.name} wakes")
    await asyncio.sleep(6)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    holders = {}
    for at, server, holder, fence in orders:
        if thawed is None or holder != frozen.name or not thawed <= at <= thawed + THAW_S:
            holders.setdefault((server, fence), set()).add(holder)
    fences = sorted({(holder, fence) for _, _, holder, fence in orders})
    record.line(f"{len(orders)} orders; holders and fencing tokens: {fences}")
    shared = {key: sorted(names) for key, names in holders.items() if len(names) > 1}
    for (server, fence), names in sorted(shared.items()):
        record.line(f"{server} got orders with fencing token {fence} from {' and '.join(names)}")
    return f"ONE: two holders with one fencing token at {len(shared)} servers" if shared else None


lab.run_case(HERE, play)

"""A connection between two processes that can be cut: what is sent meanwhile is held back and
delivered in order when the cut is over."""
import asyncio


class Proxy:
    def __init__(self, target):
        self.target = target
        self.passes = asyncio.Event()
        self.passes.set()

    async def start(self):
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def hold(self):
        self.passes.clear()

    def release(self):
        self.passes.set()

    async def _connected(self, reader, writer):
        host, _, port = self.target.partition(":")
        await self.passes.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._copy(reader, far_writer), self._copy(far_reader, writer))

    async def _copy(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.passes.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.close()

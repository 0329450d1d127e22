"""HTTP/1.1 with CBOR bodies: a server and a client on asyncio."""
import asyncio

import cbor

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           429: "Too Many Requests", 503: "Service Unavailable"}


async def _read_message(reader):
    """Returns the first line, the headers and the body, or None if the connection has ended."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def serve(handler, port=0):
    """handler(method, path, query, body) -> (status, value), or None to close the connection
    without an answer. Returns the server and its port."""
    connections = set()

    async def connected(reader, writer):
        connections.add(writer)
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, text = target.partition("?")
                query = {}
                for part in text.split("&"):
                    if part:
                        name, _, value = part.partition("=")
                        query[name] = value.replace("%2F", "/").replace("%2f", "/")
                try:
                    value = cbor.decode(body) if body else None
                except (ValueError, UnicodeDecodeError):
                    value = None
                answer = await handler(method, path, query, value)
                if answer is None:
                    return
                status, content = answer
                data = cbor.encode(content) if content is not None else b""
                writer.write((f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                              f"Content-Type: application/cbor\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            connections.discard(writer)
            writer.close()

    server = await asyncio.start_server(connected, "127.0.0.1", port, limit=1 << 20)
    server.open_connections = connections
    return server, server.sockets[0].getsockname()[1]


class Client:
    """One connection to one address, kept open between requests."""

    def __init__(self, address):
        host, _, port = address.partition(":")
        self.host, self.port = host, int(port)
        self.reader = self.writer = None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def request(self, method, target, value=None, timeout=5.0):
        """Returns (status, value, headers); status is None if there was no answer."""
        try:
            return await asyncio.wait_for(self._request(method, target, value), timeout)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
            self.close()
            return None, None, {}

    async def _request(self, method, target, value):
        data = cbor.encode(value) if value is not None else b""
        if self.writer is not None and (self.writer.is_closing() or self.reader.at_eof()):
            self.close()
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port,
                                                                     limit=1 << 20)
        head = f"{method} {target} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
        if data or method != "GET":
            head += f"Content-Type: application/cbor\r\nContent-Length: {len(data)}\r\n"
        self.writer.write((head + "\r\n").encode() + data)
        await self.writer.drain()
        first, headers, body = await _read_message(self.reader)
        status = int(first.split(" ")[1])
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            content = cbor.decode(body) if body else None
        except (ValueError, UnicodeDecodeError):
            content = None
        return status, content, headers

"""Crowds of clients outside the limits, over loopback, bounded in count and time.

A crowd sends without waiting for answers and, unless told otherwise, never reads.
Its connections stay open until close(), so that a check meets them.
"""

import selectors
import socket
import time

# Ends the sending of a crowd whose peer takes nothing any more, because it has
# stopped reading or because its own limits are reached.
STALL_S = 2
LIMIT_S = 40


class Client:
    """One connection that sends `data` in pieces of `piece` bytes."""

    def __init__(self, port, data=b"", piece=0, receive_bytes=0):
        self.rest = memoryview(data)
        self.piece = piece or max(len(data), 1)
        self.socket = socket.socket()
        if receive_bytes:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.socket.settimeout(5)
        try:
            self.socket.connect(("127.0.0.1", port))
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:  # refused or reset: allowed
            self.rest = memoryview(b"")
        self.socket.setblocking(False)

    def send(self):
        """Sends one piece. Returns whether more is to be sent."""
        try:
            sent = self.socket.send(self.rest[:self.piece])
        except BlockingIOError:
            return True
        except OSError:  # closed by the peer: allowed
            sent = len(self.rest)
        self.rest = self.rest[sent:]
        return len(self.rest) > 0


class Crowd:
    def __init__(self, clients):
        self.clients = clients

    def send(self, pause_s=0):
        """Sends in turns until all is sent or nothing is taken any more."""
        selector = selectors.DefaultSelector()
        for client in self.clients:
            if client.rest:
                selector.register(client.socket, selectors.EVENT_WRITE, client)
        end = time.monotonic() + LIMIT_S
        while selector.get_map() and time.monotonic() < end:
            writable = selector.select(STALL_S)
            if not writable:
                break
            for key, _ in writable:
                if not key.data.send():
                    selector.unregister(key.fileobj)
            if pause_s:
                time.sleep(pause_s)
        selector.close()

    def close(self):
        for client in self.clients:
            client.socket.close()


def request(method, path, body=b"", headers=()):
    lines = [f"{method} {path} HTTP/1.1", "Host: x", *headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

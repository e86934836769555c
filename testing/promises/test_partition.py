"""Guard against a cut that silences other connections than it should."""

import os
import socket

from testing.promises.partition import find_socket_inode


def _connect(local_port: int, remote_port: int) -> socket.socket:
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    client.bind(("127.0.0.1", local_port))
    client.connect(("127.0.0.1", remote_port))
    return client


def _inode_of(connection: socket.socket) -> str:
    return str(os.fstat(connection.fileno()).st_ino)


def test_connections_with_the_same_local_port_are_told_apart() -> None:
    """Two daemons' connections got mixed up where the kernel reused a port."""
    with (
        socket.create_server(("127.0.0.1", 0)) as first_server,
        socket.create_server(("127.0.0.1", 0)) as second_server,
    ):
        ports = [server.getsockname()[1] for server in (first_server, second_server)]
        with _connect(0, ports[0]) as first:
            local_port = first.getsockname()[1]
            with _connect(local_port, ports[1]) as second:
                assert find_socket_inode(local_port, ports[0]) == _inode_of(first)
                assert find_socket_inode(local_port, ports[1]) == _inode_of(second)

"""The platform's address for clients: passes each connection on to an entry."""

import asyncio

from standins import FRONT

# One way between clients and the entries' machines, as on the deployment's sheet.
ONE_WAY_S = 0.003
# When TCP sends an opening packet that was not answered again, after the first one.
OPENING_RETRIES_S = [1.0, 2.0, 4.0, 8.0]


class Vip:
    """Accepts clients and passes bytes and ends of connections on, in order.

    A machine that stands still answers no opening packet; TCP sends it again after 1, 3 and 7 s.
    On a connection that was held up so, the end of the connection arrives one round trip behind
    the request; the pages are silent on this, and the program reckons with as much.
    """

    def __init__(self, record, ip):
        self.record, self.ip = record, ip
        self.target = None
        self.still = set()

    async def start(self):
        self.server = await asyncio.start_server(self.pass_on, self.ip, FRONT, backlog=512)

    async def pass_on(self, from_client, to_client):
        front, to_front = self.target, None
        try:
            retried = False
            for pause in OPENING_RETRIES_S:
                if front not in self.still:
                    break
                retried = True
                await asyncio.sleep(pause)
            gap_s = 2 * ONE_WAY_S if retried else 0.0
            await asyncio.sleep(ONE_WAY_S)
            from_front, to_front = await asyncio.open_connection(front.ip, FRONT)
            up = asyncio.create_task(self.copy(from_client, to_front, gap_s))
            down = asyncio.create_task(self.copy(from_front, to_client, 0.0))
            await asyncio.wait([up, down])
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            to_client.close()
            if to_front:
                to_front.close()

    async def copy(self, reader, writer, gap_s):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
                await asyncio.sleep(gap_s)
            writer.write_eof()
        except (OSError, asyncio.CancelledError):
            pass

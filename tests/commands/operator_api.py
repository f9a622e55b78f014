"""Fake of the operators' interface of a daemon."""

import contextlib
import http.server
import json
import threading

from rattanlug.rules import diff

TOKEN = "operator-token"


class OperatorApi:
    """Rules with compare-and-set, and the failures that scenarios configure."""

    def __init__(self, text):
        self.versions = [("Ane: first", text)]
        self.before_post = None
        self.refuse_with = None
        self.drop_response = False
        self.in_force = True
        self.posts = 0
        self.extra = {}

    @property
    def version(self):
        return len(self.versions)

    @property
    def text(self):
        return self.versions[-1][1]

    def apply(self, author, text):
        self.versions.append((author, text))

    def changes(self, version):
        if version == 1:
            return []
        old, new = self.versions[version - 2][1], self.versions[version - 1][1]
        result = diff.diff_rules(old, new)
        return [f"- {x}" for x in result.removed] + [f"+ {x}" for x in result.added]

    def get(self, name):
        if name == "rules":
            return {"version": self.version, "rules": self.text}
        if name == "history":
            entries = [
                {
                    "version": number,
                    "author": author,
                    "time": 1e9 + number,
                    "changes": self.changes(number),
                }
                for number, (author, _) in enumerate(self.versions, 1)
            ]
            return {"versions": entries}
        return self.extra[name]

    def post(self, body):
        self.posts += 1
        if self.before_post:
            self.before_post()
        if self.refuse_with:
            return 503, {"kind": self.refuse_with, "detail": "refused", "ran": "no"}
        if body["expected_version"] != self.version:
            author = self.versions[-1][0]
            changes = self.changes(self.version)
            data = {"version": self.version, "author": author, "changes": changes}
            return 409, data
        self.apply(body["author"], body["rules"])
        missing = [] if self.in_force else ["galle-1-a"]
        data = {"version": self.version, "in_force": self.in_force}
        return 200, data | {"missing": missing}


@contextlib.contextmanager
def serve(api):
    """Serve on a free loopback port; yields ``host:port``."""

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):  # noqa: N802
            if self._authorised():
                self._respond(200, api.get(self.path.rpartition("/")[2]))

        def do_POST(self):  # noqa: N802
            if not self._authorised():
                return
            body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
            status, data = api.post(body)
            if api.drop_response:
                self.close_connection = True
            else:
                self._respond(status, data)

        def _authorised(self):
            if self.headers["Authorization"] == f"Bearer {TOKEN}":
                return True
            data = {"kind": "key_unknown", "detail": "no such token", "ran": "no"}
            self._respond(401, data)
            return False

        def _respond(self, status, data):
            content = json.dumps(data).encode()
            self.send_response(status)
            self.send_header("Content-Length", str(len(content)))
            self.end_headers()
            self.wfile.write(content)

        def log_message(self, *args):
            pass

    server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield f"127.0.0.1:{server.server_port}"
    finally:
        server.shutdown()
        thread.join()
        server.server_close()

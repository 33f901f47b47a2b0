#!/usr/bin/env python3
"""Says where generations lost their worth, from the logs of all instances of one run.

    tools/lost_worth.py LOG... [--html FILE]

Reads the gateways' JSON lines, also with words before them. Each generation that ended late, was
cut, refused or failed is in exactly one row; the rows sum to the loss. A generation counts as
0.3 + 0.7 x its size against the mean of its route (size: prompt + 10 x output tokens, as expected
for those that never ended); an answer that is late keeps LATE_PART of it.
"""

import argparse
import collections
import html
import json
import re
import statistics
import sys

# Fraction of its worth that a late generation keeps, from the deployments' sheets (27 of 180, 26 of 170).
LATE_PART = 0.15
# Worth of a long generation relative to a brief one, from the deployments' sheets (180 and 19).
BRIEFS_A_LONG_ONE = 9.0
# Tokens per event, from the deployments' sheets.
TOKENS_AN_EVENT = 4
# A generation with more output tokens than this is long; brief ones have about 12.
LONG_TOKENS = 60

FIELD = re.compile(r"(\w+)=(\S*)")


def lines_of(path):
    """Yields the log events of a file as (time in ms, name, fields)."""
    with open(path, encoding="utf-8", errors="replace") as source:
        for text in source:
            start = text.find('{"time_ms"')
            if start < 0:
                continue
            try:
                event = json.loads(text[start:])
            except json.JSONDecodeError:
                continue
            yield event["time_ms"], event["name"], dict(FIELD.findall(event["detail"]))


class Generation:
    """The log events of one request to an engine."""

    def __init__(self):
        self.sends = []
        self.moves = []
        self.move_failures = []
        self.end = None
        self.refusal = None
        self.left = None

    def output(self):
        if self.end and self.end[1].get("events", "0") != "0" and self.end[2] == "request_ended":
            return int(self.end[1]["events"]) * TOKENS_AN_EVENT
        return int(self.sends[0][1]["expected_tokens"]) if self.sends else 0

    def size(self):
        prompt = int(self.sends[0][1]["prompt_tokens"]) if self.sends else 0
        return prompt + 10 * self.output()


class Run:
    """The generations of one run, and when its engines left."""

    def __init__(self, paths):
        self.generations = collections.defaultdict(Generation)
        self.leaving = {}
        self.gone = {}
        self.stops = []
        for path in paths:
            for time, name, fields in lines_of(path):
                self.take(time, name, fields)
        self.generations = {
            key: g
            for key, g in self.generations.items()
            if g.sends and int(g.sends[0][1].get("prompt_tokens", 0)) > 0
        }

    def take(self, time, name, fields):
        if name == "started":
            self.stops.append(time)
        if name in ("backend_leaving", "backend_down"):
            known = self.leaving if name == "backend_leaving" else self.gone
            known.setdefault(fields["backend"], time)
        request = fields.get("request")
        if not request:
            return
        g = self.generations[request]
        if name == "request_sent":
            g.sends.append((time, fields))
        elif name in ("request_ended", "request_failed"):
            g.end = (time, fields, name)
        elif name == "generation_moved":
            g.moves.append((time, fields))
        elif name == "move_failed":
            g.move_failures.append((time, fields))
        elif name == "request_refused":
            g.refusal = (time, fields)
        elif name == "caller_left":
            g.left = (time, fields)

    def why_cut(self, g):
        """Returns why a stream was cut: its engine left, or the connection broke for another reason."""
        time, last = g.sends[-1]
        engine = last["backend"]
        # Some engines do not announce that they leave: their entry disappears, and they go on serving
        # for as long as after a notice.
        notices = [known[engine] for known in (self.leaving, self.gone) if engine in known]
        notice = min(notices, default=None)
        end = g.end[0]
        if notice is None or notice > end:
            return "cut: engine broke off without a notice"
        if g.move_failures and g.move_failures[-1][0] >= notice:
            return "cut: move failed: " + g.move_failures[-1][1].get("reason", "?")
        if time + int(float(g.end[1].get("first_ms", 0))) > notice and notice < time:
            return "cut: sent to an engine that was leaving"
        moved = [m for m in g.moves if m[0] >= notice]
        if moved:
            return "cut: moved, but not taken up"
        if g.moves:
            return "cut: moved before, not in time again"
        return "cut: no move was tried before the engine went"

    def row(self, g):
        """Returns the cause of a loss, or None if the generation lost nothing."""
        if g.left:
            return "caller left"
        if g.end is None:
            return "cut at the end of an instance"
        fields = g.end[1]
        if g.end[2] == "request_failed":
            if int(fields["events"]) > 0:
                return self.why_cut(g)
            return "before its first event: " + fields["result"] + ", last " + fields["last"]
        if float(fields["first_ms"]) > float(fields["objective_ms"]):
            return self.why_first_late(g)
        if float(fields["longest_pause_ms"]) > float(fields["pause_objective_ms"]):
            return "pause late: " + ("moved" if g.moves else "not moved")
        return None

    def why_first_late(self, g):
        if len(g.sends) > 1 and not g.moves:
            return "first event late: sent more than once"
        placed = g.sends[0][1]
        full = int(placed["memory_tokens"]) / max(1, int(placed.get("of_memory", 0)) or 1)
        if int(placed["unread_tokens"]) > 7000:
            return "first event late: over 7,000 prompt tokens queued where it was placed"
        if full > 0.9:
            return "first event late: memory over 0.9 where it was placed"
        return "first event late: by what came after it"


def tables(run):
    means = collections.defaultdict(list)
    for g in run.generations.values():
        means[g.sends[0][1]["route"]].append(g.size())
    means = {route: statistics.mean(sizes) or 1 for route, sizes in means.items()}
    owed = 0.0
    rows = collections.defaultdict(lambda: [0, 0, 0.0])
    seconds = collections.Counter()
    first = min(g.sends[0][0] for g in run.generations.values())
    for g in run.generations.values():
        worth = min(4.0, 0.3 + 0.7 * g.size() / means[g.sends[0][1]["route"]])
        is_long = int(g.sends[0][1]["expected_tokens"]) > LONG_TOKENS
        worth *= BRIEFS_A_LONG_ONE if is_long else 1.0
        owed += worth
        cause = run.row(g)
        if cause is None:
            continue
        late = cause.startswith(("first event late", "pause late"))
        lost = worth * (1 - LATE_PART if late else 1.0)
        rows[cause][0 if is_long else 1] += 1
        rows[cause][2] += lost
        seconds[(g.sends[0][0] - first) // 2000 * 2] += lost
    return owed, rows, seconds


def paces(run):
    out = []
    for g in run.generations.values():
        if g.end and g.end[2] == "request_ended" and int(g.end[1]["events"]) > LONG_TOKENS // TOKENS_AN_EVENT:
            fields = g.end[1]
            tokens = TOKENS_AN_EVENT * (int(fields["events"]) - 1)
            out.append((float(fields["after_ms"]) - float(fields["first_ms"])) / tokens)
    return out


def page(owed, rows, seconds):
    """Renders the tables as one self-contained HTML page."""
    most = max(seconds.values(), default=1.0)
    body = ["<h1>Where generations lost their worth</h1><table border=1 cellpadding=4>",
            "<tr><th>cause<th>long<th>brief<th>share of all worth"]
    for cause, (long, brief, lost) in sorted(rows.items(), key=lambda r: -r[1][2]):
        body.append(f"<tr><td>{html.escape(cause)}<td>{long}<td>{brief}<td>{lost / owed:.4f}")
    body.append("</table><h2>By second of the request</h2><svg width=900 height=220>")
    for index, second in enumerate(sorted(seconds)):
        height = 180 * seconds[second] / most
        body.append(f'<rect x={index * 24} y={190 - height:.0f} width=20 height={height:.0f} '
                    f'fill="#47a"/><text x={index * 24} y=206 font-size=11>{second}</text>')
    body.append("</svg>")
    return "<!doctype html><meta charset=utf-8>" + "\n".join(body)


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", nargs="+")
    parser.add_argument("--html", help="write a page with a plot here")
    args = parser.parse_args()
    run = Run(args.logs)
    if not run.generations:
        sys.exit("no generation in these logs: are they the gateways' JSON lines?")
    owed, rows, seconds = tables(run)
    print(f"{'cause':66} {'long':>5} {'brief':>5} {'lost':>7}")
    for cause, (long, brief, lost) in sorted(rows.items(), key=lambda r: -r[1][2]):
        print(f"{cause:66} {long:5} {brief:5} {lost / owed:7.4f}")
    print(f"{'all':66} {'':5} {'':5} {sum(r[2] for r in rows.values()) / owed:7.4f}")
    pace = paces(run)
    if pace:
        print(f"{len(run.generations)} generations; long ones: {statistics.mean(pace):.2f} ms a token")
    if args.html:
        with open(args.html, "w", encoding="utf-8") as target:
            target.write(page(owed, rows, seconds))


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Shows from a day's log that the meeting came about: show.py LOG (of a run with --log debug)

(a) when the leader was refused, and until when it still answered workers; (b) which cancellations others confirmed while it
could not read them, and how many tasks of those jobs were on machines; (c) from when to when the service was down for all;
(d) when the last task of each such job was seen to go, against the confirmation. Exits with 1 where one of them did not happen.
"""
import re, sys

trouble = re.compile(r"^ *at ([0-9.]+) s: (.*)")
line = re.compile(r"\s*([0-9.]+) (\S+) \S+ level=\w+ member=\S+ event=(\w+)(.*)")
leaders, refused, outages, seen_by, running, cancelled = [], None, [], {}, {}, []
for l in open(sys.argv[1], errors="replace"):
    m = line.match(l)
    if not m:
        m = trouble.search(l)
        if m and ("refuses" in m[2] or "loses the state service" in m[2]):
            refused = refused or (float(m[1]), m[2])
        elif m and "state service has trouble" in m[2]:
            outages.append(float(m[1]))
        continue
    at, who, event, rest = float(m[1]), m[2], m[3], m[4]
    if event == "elected":
        leaders.append((at, who))
    elif event == "cancel_accepted":
        job = re.search(r"job=(\S+)", rest)[1]
        cancelled.append((at, who, job, {t: float("inf") for t in running.get(job, ())}))
    elif event in ("task_started", "task_exited", "task_lost"):
        task = re.search(r"task=(\S+)", rest)[1]
        job = task.split("/")[0]
        seen_by.setdefault(who, []).append(at)
        if event == "task_started":
            running.setdefault(job, set()).add(task)
            continue
        running.get(job, set()).discard(task)
        for _, _, other, on in cancelled:
            if other == job and on.get(task) == float("inf"):
                on[task] = at
if not refused or not outages:
    sys.exit("show: no refusal or no outage in this log")
down = outages[-1]
old = [w for t, w in leaders if t < refused[0]][-1]
print(f"(a) {old} leads; {refused[0]:.1f} s: {refused[1]}; it last took news of a worker at "
      f"{max((t for t in seen_by.get(old, [0]) if t < down + 80), default=0):.1f} s; elected later: "
      f"{[(round(t, 1), w) for t, w in leaders if t > refused[0]]}")
rows = [(job, at, who, len(on), max(on.values()) - at) for at, who, job, on in cancelled
        if on and refused[0] <= at <= down + 1 and who != old]
print(f"(b) {len(rows)} jobs with tasks on machines cancelled through others between {refused[0]:.1f} and {down:.1f} s, "
      f"{sum(r[3] for r in rows)} tasks")
print(f"(c) down for all from {down:.1f} s")
for job, at, who, n, took in rows:
    print(f"(d) {job}: confirmed by {who} at {at:.2f} s, {n} tasks, the last was seen to be gone after {took:.1f} s")
if rows:
    print(f"longest: {max(r[4] for r in rows):.1f} s")
sys.exit(0 if rows else 1)

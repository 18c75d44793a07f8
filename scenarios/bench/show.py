#!/usr/bin/env python3
"""Shows from a day's log that the combination of faults came about: show.py LOG (of a run with --log debug)

(a) when the leader was refused, and until when it still answered workers; (b) which cancellations others confirmed while it
could not read them, and how many tasks of those jobs were on machines; (c) from when to when the service was down for all;
(d) when the last task of each such job was seen to go, against the confirmation. Exits with 1 where one of them did not happen.
"""
import re
import sys

FAULT_LINE = re.compile(r"^ *at ([0-9.]+) s: (.*)")
EVENT_LINE = re.compile(r"\s*([0-9.]+) (\S+) \S+ level=\w+ member=\S+ event=(\w+)(.*)")
NOT_SEEN = float("inf")
ANSWERS_END_AFTER_S = 80  # after the outage began, an answer of the old leader does not count


class Cancellation:
    """A confirmed cancellation, with the time at which each running task of the job was seen to go."""

    def __init__(self, at, member, job, running_tasks):
        self.at, self.member, self.job = at, member, job
        self.gone_at = {task: NOT_SEEN for task in running_tasks}

    def longest_s(self):
        return max(self.gone_at.values()) - self.at


class Log:
    """What a log tells of leaders, faults, cancellations and tasks."""

    def __init__(self, lines):
        self.elections, self.refused, self.outages, self.cancellations = [], None, [], []
        self.task_events_by_member, self.running = {}, {}
        for line in lines:
            event = EVENT_LINE.match(line)
            if event:
                self.add_event(float(event[1]), event[2], event[3], event[4])
            else:
                self.add_fault(FAULT_LINE.search(line))

    def add_fault(self, fault):
        if not fault:
            return
        at, what = float(fault[1]), fault[2]
        if "refuses" in what or "loses the state service" in what:
            self.refused = self.refused or (at, what)
        elif "state service has trouble" in what:
            self.outages.append(at)

    def add_event(self, at, member, event, fields):
        if event == "elected":
            self.elections.append((at, member))
        elif event == "cancel_accepted":
            job = re.search(r"job=(\S+)", fields)[1]
            self.cancellations.append(Cancellation(at, member, job, self.running.get(job, ())))
        elif event in ("task_started", "task_exited", "task_lost"):
            self.add_task_event(at, member, event, re.search(r"task=(\S+)", fields)[1])

    def add_task_event(self, at, member, event, task):
        job = task.split("/")[0]
        self.task_events_by_member.setdefault(member, []).append(at)
        if event == "task_started":
            self.running.setdefault(job, set()).add(task)
            return
        self.running.get(job, set()).discard(task)
        for cancellation in self.cancellations:
            if cancellation.job == job and cancellation.gone_at.get(task) == NOT_SEEN:
                cancellation.gone_at[task] = at


def main():
    log = Log(open(sys.argv[1], errors="replace"))
    if not log.refused or not log.outages:
        sys.exit("show: no refusal or no outage in this log")
    refused_at, refusal = log.refused
    down = log.outages[-1]
    old = [member for at, member in log.elections if at < refused_at][-1]
    last_event = max((at for at in log.task_events_by_member.get(old, [0]) if at < down + ANSWERS_END_AFTER_S), default=0)
    later = [(round(at, 1), member) for at, member in log.elections if at > refused_at]
    print(f"(a) {old} leads; {refused_at:.1f} s: {refusal}; it last took news of a worker at "
          f"{last_event:.1f} s; elected later: {later}")
    shown = [c for c in log.cancellations if c.gone_at and refused_at <= c.at <= down + 1 and c.member != old]
    print(f"(b) {len(shown)} jobs with tasks on machines cancelled through others between {refused_at:.1f} and {down:.1f} s, "
          f"{sum(len(c.gone_at) for c in shown)} tasks")
    print(f"(c) down for all from {down:.1f} s")
    for c in shown:
        print(f"(d) {c.job}: confirmed by {c.member} at {c.at:.2f} s, {len(c.gone_at)} tasks, "
              f"the last was seen to be gone after {c.longest_s():.1f} s")
    if shown:
        print(f"longest: {max(c.longest_s() for c in shown):.1f} s")
    sys.exit(0 if shown else 1)


if __name__ == "__main__":
    main()

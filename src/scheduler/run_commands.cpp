#include "scheduler/run_commands.hpp"

#include "model/task.hpp"

namespace flintdale::scheduler {

bool RunCommands::may_run(const Job& job, const Task& task) const {
    return !job.cancelled && !job.finished && !job.is_failing_gang() && !task.draining &&
           !state_.quota.over_limit(job.spec.team);
}

void RunCommands::add(Job& job, std::uint32_t task, const Machine& machine, std::vector<model::Command>& commands) {
    if (!job.durable(task) || machine.releasing || commands.size() >= max_commands) return;
    // The placement is recorded, so the next leader knows where the task may run.
    job.tasks[task].run_sent = true;
    commands.push_back({model::CommandType::run, {job.spec.uid, task}, job.tasks[task].attempt, Seconds(0)});
}

bool RunCommands::is_latest(const Machine& machine, const model::Heartbeat& heartbeat) {
    return machine.has_current_term && machine.incarnation == heartbeat.incarnation &&
           machine.sequence == heartbeat.sequence;
}

bool RunCommands::any_pending(const Machine& machine) const {
    for (const auto& [uid, i] : machine.tasks) {
        const auto* job = state_.jobs.find(uid);
        if (!job) continue;
        const auto& task = job->tasks[i];
        if (!task.run_sent && !task.reported && may_run(*job, task)) return true;
    }
    return false;
}

std::vector<model::Command> RunCommands::pending(const model::Heartbeat& heartbeat) {
    std::vector<model::Command> out;
    const auto* machine = state_.inventory.find(heartbeat.machine);
    if (!machine || !is_latest(*machine, heartbeat)) return out;
    for (const auto& [uid, i] : machine->tasks) {
        auto* job = state_.jobs.find(uid);
        if (!job) continue;
        const auto& task = job->tasks[i];
        if (task.run_sent || task.reported || !may_run(*job, task) || out.size() + 2 > max_commands) continue;
        // A gang member that waits on this machine under an earlier attempt must be killed first. A worker refuses a
        // task that it already has under another attempt, and the gang would fail at once.
        for (const auto& old : heartbeat.tasks)
            if (old.id.uid == uid && old.id.index == i && old.attempt != task.attempt && job->durable(i) &&
                old.status != model::TaskStatus::exited)
                out.push_back({model::CommandType::kill, old.id, old.attempt, Seconds(0)});
        add(*job, i, *machine, out);
    }
    return out;
}

}  // namespace flintdale::scheduler

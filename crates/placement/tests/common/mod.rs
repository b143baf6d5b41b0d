//! A test owner of the state machine, which runs tasks and checks every effect.

use std::collections::BTreeMap;

use cumindeck_placement::{
    AcceleratorSet, Effect, Event, GangShape, JobSpec, Placement, PlacementPolicy, Settings,
    TaskOutcome, TaskPlacement, TaskSize, WorkerSpec,
};
use cumindeck_types::{Attempt, JobId, Uptime};

/// An attempt from its start until the job ends or waits again.
#[derive(Clone)]
pub struct Gang {
    pub attempt: Attempt,
    pub is_borrowed: bool,
    pub is_stopping: bool,
    pub tasks: Vec<TaskPlacement>,
}

/// A region with running gangs.
pub struct TestRegion {
    pub placement: Placement,
    pub now: Uptime,
    pub gangs: BTreeMap<JobId, Gang>,
    pub jobs: BTreeMap<JobId, JobSpec>,
    pub log: Vec<Effect>,
}

impl TestRegion {
    pub fn new(policy: Box<dyn PlacementPolicy>) -> Self {
        Self {
            placement: Placement::new(Settings::default(), policy),
            now: Uptime::ZERO,
            gangs: BTreeMap::new(),
            jobs: BTreeMap::new(),
            log: Vec::new(),
        }
    }

    /// Adds a worker named `w{number}`.
    pub fn add_worker(&mut self, number: usize, rack: usize, zone: &str, accelerators: u8) {
        self.step(Event::WorkerSet(WorkerSpec {
            worker: format!("w{number}").parse().unwrap(),
            rack: format!("r{rack}").parse().unwrap(),
            zone: zone.parse().unwrap(),
            accelerators,
        }));
    }

    pub fn set_team(&mut self, team: &str, guarantee: &str) {
        self.step(Event::TeamSet(
            team.parse().unwrap(),
            guarantee.parse().unwrap(),
        ));
    }

    pub fn submit(&mut self, job: &str, team: &str, gang: GangShape, is_urgent: bool) {
        let (job, team) = (job.parse().unwrap(), team.parse().unwrap());
        self.step(Event::Submit(JobSpec {
            job,
            team,
            gang,
            is_urgent,
        }));
    }

    /// Passes an event to the state machine and checks the effects.
    pub fn step(&mut self, event: Event) {
        if let Event::Submit(spec) = &event {
            self.jobs.insert(spec.job.clone(), spec.clone());
        }
        for effect in self.placement.step(self.now, event) {
            match &effect {
                Effect::Start {
                    job,
                    attempt,
                    placement,
                    is_borrowed,
                } => {
                    self.check_start(job, placement);
                    let gang = Gang {
                        attempt: *attempt,
                        is_borrowed: *is_borrowed,
                        is_stopping: false,
                        tasks: placement.clone(),
                    };
                    assert!(
                        self.gangs.insert(job.clone(), gang).is_none(),
                        "{job} runs twice"
                    );
                }
                Effect::Stop(job, attempt, _) => {
                    let gang = self
                        .gangs
                        .get_mut(job)
                        .expect("only a running gang is stopped");
                    assert_eq!(gang.attempt, *attempt);
                    gang.is_stopping = true;
                }
                Effect::Ended(job, _) | Effect::Requeued(job, _) => {
                    let gang = self.gangs.remove(job);
                    assert!(
                        gang.is_none_or(|gang| gang.tasks.is_empty()),
                        "{job} still runs"
                    );
                }
                _ => {}
            }
            self.log.push(effect);
        }
    }

    /// Ends one task of a gang.
    pub fn end_task(&mut self, job: &JobId, outcome: TaskOutcome) {
        let Some(gang) = self.gangs.get_mut(job) else {
            return;
        };
        let Some(task) = gang.tasks.pop() else { return };
        let event = Event::TaskEnded(job.clone(), gang.attempt, task.task, outcome);
        self.step(event);
    }

    /// Ends all tasks of the current attempt, not of one that follows immediately.
    pub fn end(&mut self, job: &JobId, outcome: TaskOutcome) {
        let attempt = self.gangs.get(job).map(|gang| gang.attempt);
        while self
            .gangs
            .get(job)
            .is_some_and(|gang| Some(gang.attempt) == attempt && !gang.tasks.is_empty())
        {
            self.end_task(job, outcome);
        }
    }

    /// Confirms all requested stops.
    pub fn confirm_stops(&mut self) {
        let stopping = self.gangs.iter().filter(|(_, gang)| gang.is_stopping);
        for job in stopping.map(|(job, _)| job.clone()).collect::<Vec<_>>() {
            self.end(&job, TaskOutcome::Stopped);
        }
    }

    /// Lets time pass.
    pub fn wait(&mut self, millis: u64) {
        self.now = self.now.plus(std::time::Duration::from_millis(millis));
        self.step(Event::Tick);
    }

    /// Checks that a gang starts whole, in its requested shape
    /// and on unused accelerators.
    fn check_start(&self, job: &JobId, placement: &[TaskPlacement]) {
        let gang = self.jobs[job].gang;
        assert_eq!(placement.len(), gang.tasks as usize, "{job} starts in part");
        let size = match gang.size {
            TaskSize::Worker => 8,
            TaskSize::Accelerators(n) => u32::from(n),
        };
        let mut racks = Vec::new();
        for (i, task) in placement.iter().enumerate() {
            let worker = self
                .placement
                .state()
                .workers()
                .find(|w| *w.worker == task.worker);
            let worker = worker.expect("the worker is known");
            assert!(
                worker.is_serving,
                "{job} starts on {}, which is out of service",
                task.worker
            );
            let all = AcceleratorSet::range(0, worker.accelerators);
            let first = task
                .accelerators
                .indices()
                .next()
                .expect("a task has accelerators");
            let block = AcceleratorSet::range(first as u8, size as u8);
            assert!(all.contains(block) && block == task.accelerators && first % size == 0);
            let others = self.gangs.values().flat_map(|gang| &gang.tasks);
            for other in others
                .chain(&placement[..i])
                .filter(|o| o.worker == task.worker)
            {
                assert!(
                    !other.accelerators.overlaps(block),
                    "{job} uses {} of {} twice",
                    task.accelerators,
                    task.worker,
                );
            }
            racks.push(worker.rack.clone());
        }
        racks.dedup();
        assert!(!gang.is_same_rack || racks.len() == 1, "{job} spans racks");
    }
}

pub fn gang(tasks: u32, size: TaskSize, is_same_rack: bool) -> GangShape {
    GangShape {
        tasks,
        size,
        is_same_rack,
    }
}

//! Message dispatcher of a node: services register by name and exchange typed messages.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    counter::{Counter, Counters},
    error::{Error, Result},
    name::Name,
    time::Time,
};

/// A state machine of a node that handles messages of type `M` and emits actions of type `A`. All
/// services of the node share a value of type `S`.
pub trait Service<S, M, A>: Send {
    /// Handles one message.
    fn handle(&mut self, now: Time, msg: M, cx: &mut Context<'_, S, M, A>);
}

/// Interface to the kernel for a service that handles a message.
pub struct Context<'a, S, M, A> {
    /// State shared by all services of the node; each field is written by one service only.
    pub shared: &'a mut S,
    names: &'a BTreeMap<Name, usize>,
    queue: &'a mut VecDeque<(usize, M)>,
    out: &'a mut Vec<A>,
    counters: &'a mut Counters,
}

impl<S, M, A> Context<'_, S, M, A> {
    /// Queues `msg` for the service registered under the name `to`.
    ///
    /// # Errors
    ///
    /// Fails when no service is registered under that name.
    pub fn send(&mut self, to: &str, msg: M) -> Result<()> {
        let index = *self.names.get(to).ok_or_else(|| Error::unknown_service(to))?;
        self.queue.push_back((index, msg));
        Ok(())
    }

    /// Emits `action`, which the daemon carries out.
    pub fn act(&mut self, action: A) {
        self.out.push(action);
    }

    /// Adds one to `counter`.
    pub fn count(&mut self, counter: Counter) {
        self.counters.add(counter, 1);
    }
}

/// Registry of the services of a node and the queue of messages between them.
///
/// ```
/// use galenatrail::{Context, Counter, Kernel, Service, Time};
///
/// struct Echo;
///
/// impl Service<(), u32, u32> for Echo {
///     fn handle(&mut self, _: Time, msg: u32, cx: &mut Context<'_, (), u32, u32>) {
///         cx.count(Counter::PacketsForwarded);
///         cx.act(msg);
///     }
/// }
///
/// let mut kernel = Kernel::new(()).with_service("echo", Box::new(Echo));
/// let mut out = Vec::new();
/// kernel.send(Time::ZERO, "echo", 7, &mut out).unwrap();
/// assert_eq!(out, [7]);
/// ```
pub struct Kernel<S, M, A> {
    names: BTreeMap<Name, usize>,
    services: Vec<Box<dyn Service<S, M, A>>>,
    queue: VecDeque<(usize, M)>,
    counters: Counters,
    shared: S,
}

impl<S, M, A> Kernel<S, M, A> {
    /// Creates a kernel without services.
    pub fn new(shared: S) -> Kernel<S, M, A> {
        Kernel {
            names: BTreeMap::new(),
            services: Vec::new(),
            queue: VecDeque::new(),
            counters: Counters::new(),
            shared,
        }
    }

    /// Registers `service` under `name`, replacing an earlier service of that name.
    pub fn with_service(
        mut self,
        name: &str,
        service: Box<dyn Service<S, M, A>>,
    ) -> Kernel<S, M, A> {
        self.names.insert(Name::from(name), self.services.len());
        self.services.push(service);
        self
    }

    /// Passes `msg` to the service registered under the name `to`, then dispatches queued messages
    /// until none is left. Appends the emitted actions to `out`.
    ///
    /// # Errors
    ///
    /// Fails when no service is registered under that name.
    pub fn send(&mut self, now: Time, to: &str, msg: M, out: &mut Vec<A>) -> Result<()> {
        let index = *self.names.get(to).ok_or_else(|| Error::unknown_service(to))?;
        self.queue.push_back((index, msg));
        while let Some((index, msg)) = self.queue.pop_front() {
            let mut cx = Context {
                shared: &mut self.shared,
                names: &self.names,
                queue: &mut self.queue,
                out,
                counters: &mut self.counters,
            };
            self.services[index].handle(now, msg, &mut cx);
        }
        Ok(())
    }

    /// Returns the shared state.
    pub fn shared(&self) -> &S {
        &self.shared
    }

    /// Returns the shared state, for changes made outside of the services.
    pub fn shared_mut(&mut self) -> &mut S {
        &mut self.shared
    }

    /// Returns the counters of the kernel, which all services share.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Adds one to `counter`.
    pub fn count(&mut self, counter: Counter) {
        self.counters.add(counter, 1);
    }
}

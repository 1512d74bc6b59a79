package org.brasspier.core.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.brasspier.core.FailureDomain;
import org.brasspier.core.InstanceId;

/**
 * Daemons of which few follow a row of the store and pass its changes on, in virtual
 * time. Daemons can be killed or frozen, cut off from the store so that their calls hang
 * or are turned away, and all connections to the store can fall silent while new ones
 * work.
 */
final class StoreReadersModel {

	private static final long MARGIN_MILLIS = 1000;

	private static final long GATHER_MILLIS = 200;

	private static final long ANSWER_MILLIS = 5;

	private static final long WAY_MILLIS = 2;

	private static final long STEP_MILLIS = 200;

	/** After so long without an answer a daemon counts as out of reach. */
	private static final long LOST_MILLIS = 400;

	private static final long PROBE_MILLIS = 500;

	private static final long BEHIND_MILLIS = 350;

	private static final long OVERTAKEN_MILLIS = 600;

	private static final long FOLLOWS_MILLIS = FollowedReaders.POLL_INTERVAL.toMillis() * 4;

	private final List<Daemon> daemons = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::order));

	private final Set<Guard> off;

	private long now;

	private long order;

	private long version;

	private long calls;

	StoreReadersModel(int count, int domains, long seed, Guard... off) {
		this.off = EnumSet.noneOf(Guard.class);
		this.off.addAll(List.of(off));
		SplittableRandom random = new SplittableRandom(seed);
		for (int i = 0; i < count; i++) {
			Daemon daemon = new Daemon("instance-" + seed + "-" + i, "domain-" + i % domains);
			this.daemons.add(daemon);
			at(random.nextLong(300), daemon::ask);
			at(300 + random.nextLong(STEP_MILLIS), daemon::step);
		}
	}

	List<Daemon> daemons() {
		return this.daemons;
	}

	List<Daemon> readers() {
		return this.daemons.stream().filter((daemon) -> !daemon.resting).toList();
	}

	long calls() {
		return this.calls;
	}

	void connectionsSilent() {
		this.daemons.forEach((daemon) -> daemon.silent = true);
	}

	void change() {
		this.version++;
		this.daemons.forEach(Daemon::changed);
	}

	// Those that run, reach the store and don't know of the latest change.
	long behind() {
		return this.daemons.stream()
			.filter((daemon) -> !daemon.stopped && daemon.store == Store.ANSWERS && daemon.known < this.version)
			.count();
	}

	void run(long millis) {
		long end = this.now + millis;
		while (!this.events.isEmpty() && this.events.peek().at <= end) {
			Event next = this.events.poll();
			this.now = next.at;
			next.action.run();
		}
		this.now = end;
	}

	private void at(long when, Runnable action) {
		this.events.add(new Event(when, this.order++, action));
	}

	private void in(long millis, Runnable action) {
		at(this.now + millis, action);
	}

	private boolean on(Guard guard) {
		return !this.off.contains(guard);
	}

	private static long nanos(long millis) {
		return Duration.ofMillis(millis).toNanos();
	}

	/** What keeps news from being late; each can be switched off. */
	enum Guard {

		/** A daemon without readers follows the store itself. */
		FOLLOWS_ITSELF,
		/** A reader that the store does not answer says so. */
		SAYS_WHEN_NOT_CURRENT,
		/** Readers pass news on to each other. */
		READERS_FOLLOW,
		/** A reader asks anew once another one is no longer answered. */
		DOUBTS_WITH_OTHERS

	}

	/** How the store treats a daemon. */
	enum Store {

		ANSWERS, TURNS_AWAY, HANGS

	}

	private record Event(long at, long order, Runnable action) {
	}

	final class Daemon {

		private final ReaderChoice.Candidate self;

		private final FeedTiming pace = new FeedTiming();

		private final FollowedReaders followed;

		private final Map<InstanceId, Long> asked = new HashMap<>();

		private final Set<InstanceId> unreachable = new HashSet<>();

		private final Map<Daemon, Long> followers = new HashMap<>();

		private final Map<Daemon, Long> lackedSince = new HashMap<>();

		private Store store = Store.ANSWERS;

		private boolean stopped;

		private boolean resting;

		private boolean waiting;

		private boolean silent;

		private boolean read;

		private long known;

		private long call;

		private ReaderChoice choice;

		Daemon(String name, String domain) {
			this.self = new ReaderChoice.Candidate(new InstanceId(name), new FailureDomain(domain));
			this.followed = new FollowedReaders(this.self.instance());
			this.choice = ReaderChoice.of(this.self, List.of());
		}

		// Killed, or frozen for good: nobody can tell the difference for a while.
		void stop() {
			this.stopped = true;
		}

		void store(Store treats) {
			this.store = treats;
			this.silent = true;
		}

		private void ask() {
			StoreReadersModel model = StoreReadersModel.this;
			if (this.stopped) {
				return;
			}
			model.calls++;
			this.waiting = true;
			this.silent = this.store == Store.HANGS;
			long number = ++this.call;
			long wait = wait(this.pace);
			if (this.store == Store.TURNS_AWAY) {
				model.in(ANSWER_MILLIS, () -> failed(number, ANSWER_MILLIS));
				return;
			}
			boolean news = !this.read || this.known < model.version;
			model.in(news ? ANSWER_MILLIS : wait + ANSWER_MILLIS, () -> answered(number));
			model.in(wait + MARGIN_MILLIS, () -> failed(number, wait + MARGIN_MILLIS));
		}

		private long wait(FeedTiming feed) {
			List<Daemon> all = StoreReadersModel.this.daemons;
			return (this.choice.isReader() ? feed.nextWait(this.choice.position(), this.choice.readers().size())
					: feed.nextWait(all.indexOf(this), all.size()))
				.toMillis();
		}

		private void changed() {
			if (this.waiting) {
				long number = this.call;
				StoreReadersModel.this.in(ANSWER_MILLIS, () -> answered(number));
			}
		}

		private void answered(long number) {
			if (number != this.call || !this.waiting || this.silent || this.stopped) {
				return;
			}
			this.waiting = false;
			boolean news = this.known < StoreReadersModel.this.version;
			boolean doubted = this.pace.isSuspect();
			this.pace.onAnswer(news);
			this.read = true;
			this.known = StoreReadersModel.this.version;
			if (news || doubted) {
				passOn();
			}
			StoreReadersModel.this.in(news ? GATHER_MILLIS : 0, () -> askAgain(number));
		}

		private void askAgain(long number) {
			if (number == this.call) {
				ask();
			}
		}

		private void failed(long number, long took) {
			if (number == this.call && this.waiting && !this.stopped) {
				this.waiting = false;
				Duration pause = this.pace.onFailure(Duration.ofMillis(took));
				passOn();
				StoreReadersModel.this.in(pause.toMillis(), () -> askAgain(number));
			}
		}

		private void doubt() {
			if (this.pace.markSuspect() && this.waiting) {
				passOn();
				ask();
			}
		}

		private void learn(long told) {
			if (told > this.known) {
				this.known = told;
				passOn();
			}
		}

		private boolean current() {
			return !this.resting && this.read && !this.pace.isSuspect();
		}

		private void passOn() {
			this.followers.forEach((follower, asked) -> {
				if (StoreReadersModel.this.now - asked < FOLLOWS_MILLIS) {
					pass(follower, follower.resting);
				}
			});
		}

		// Who follows the store as well is told only what it has lacked for a while.
		private void answer(Daemon follower, long itKnows) {
			boolean lacks = itKnows < this.known;
			boolean due = lacks && this.lackedSince.containsKey(follower)
					&& StoreReadersModel.this.now - this.lackedSince.get(follower) >= BEHIND_MILLIS;
			if (!lacks || due) {
				this.lackedSince.remove(follower);
			}
			else {
				this.lackedSince.putIfAbsent(follower, StoreReadersModel.this.now);
			}
			pass(follower, follower.resting || due);
		}

		private void pass(Daemon follower, boolean news) {
			long told = news ? this.known : 0;
			boolean current = current() || !on(Guard.SAYS_WHEN_NOT_CURRENT);
			send(follower, (to) -> to.passed(this.self.instance(), told, current));
		}

		private void send(Daemon to, Consumer<Daemon> message) {
			StoreReadersModel.this.in(WAY_MILLIS, () -> {
				if (!this.stopped && !to.stopped) {
					message.accept(to);
				}
			});
		}

		private void passed(InstanceId reader, long told, boolean current) {
			long number = this.call;
			if (told > this.known && this.waiting) {
				StoreReadersModel.this.in(OVERTAKEN_MILLIS, () -> {
					if (number == this.call) {
						doubt();
					}
				});
			}
			learn(told);
			boolean noLonger = this.followed.onReport(reader, current, nanos(StoreReadersModel.this.now));
			if (noLonger && !this.resting && on(Guard.DOUBTS_WITH_OTHERS)) {
				doubt();
			}
		}

		private void step() {
			if (this.stopped) {
				return;
			}
			StoreReadersModel model = StoreReadersModel.this;
			this.choice = ReaderChoice.of(this.self, candidates());
			List<InstanceId> follow = new ArrayList<>(this.choice.followed());
			if (!on(Guard.READERS_FOLLOW) && this.choice.isReader()) {
				follow.clear();
			}
			model.daemons.stream()
				.filter((other) -> follow.contains(other.self.instance()))
				.filter((other) -> model.now - this.asked.getOrDefault(other.self.instance(),
						Long.MIN_VALUE / 2) >= FollowedReaders.POLL_INTERVAL.toMillis())
				.forEach(this::follow);
			boolean covered = this.followed.receivesUpdates(follow, nanos(model.now)) || !on(Guard.FOLLOWS_ITSELF);
			boolean rest = !this.choice.isReader() && !followed() && covered && this.read;
			if (rest && !this.resting) {
				this.waiting = false;
				this.call++;
			}
			boolean resumed = this.resting && !rest;
			this.resting = rest;
			if (resumed) {
				this.pace.markSuspect();
				ask();
			}
			model.in(STEP_MILLIS, this::step);
		}

		private boolean followed() {
			return this.followers.values()
				.stream()
				.anyMatch((asked) -> StoreReadersModel.this.now - asked < FOLLOWS_MILLIS);
		}

		private Collection<ReaderChoice.Candidate> candidates() {
			return StoreReadersModel.this.daemons.stream()
				.map((daemon) -> daemon.self)
				.filter((candidate) -> !this.unreachable.contains(candidate.instance()))
				.toList();
		}

		private void follow(Daemon reader) {
			StoreReadersModel model = StoreReadersModel.this;
			InstanceId instance = reader.self.instance();
			this.asked.put(instance, model.now);
			long knows = this.known;
			send(reader, (to) -> {
				to.followers.put(this, model.now);
				to.answer(this, knows);
			});
			model.in(LOST_MILLIS, () -> {
				if (reader.stopped) {
					this.unreachable.add(instance);
					this.followed.onUnreachable(instance);
					probe(reader);
				}
			});
		}

		private void probe(Daemon reader) {
			StoreReadersModel.this.in(PROBE_MILLIS, () -> {
				if (!reader.stopped) {
					this.unreachable.remove(reader.self.instance());
				}
			});
		}

	}

}

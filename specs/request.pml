/*
 * At most one run of a request over two entries (design page, section 8.4).
 *
 * A caller sends a request with a time-ordered key through entry 0 and repeats
 * it through entry 1 at any time. The key's home is agent 0. The agent may be
 * frozen, die and restart; the duty holder may move the key's range to agent 1
 * and back. Answers are lost, and entries repeat a claim only after "not run".
 *
 * Checked: the request runs at most once, and "not run" is true.
 *
 * Broken variants: NO_HISTORY (a home without memory of the past grants old
 * keys), NO_LEASE (a home serves claims without a live lease), NO_RING_WAIT (the
 * range is moved before the lease ended), RETRY_UNCERTAIN (an entry frees
 * the claim and tries again after a dispatch whose answer was lost).
 * Reachability: REACH (a request runs after its range was moved).
 */
#define MAXTIME 5
#define LEASE 2

byte now;
byte ring = 1;          /* version of the ring; odd: agent 0 is home */
byte made;              /* when the key was made */
byte runs;

/* Of each agent: ring version of its lease, end of the lease, when it took the
   range over, and whether it holds a claim of the key. */
byte a_ring[2], a_lease[2], a_since[2];
bool a_claim[2];
byte bound[2] = LEASE;  /* end of the longest lease granted to each agent */

#ifdef NO_RING_WAIT
#define MAY_MOVE true
#else
#define MAY_MOVE (now >= bound[HOME(ring)])
#endif

#define HOME(v) ((v + 1) % 2)

#ifdef NO_LEASE
#define SERVES(a, v) (a_ring[a] == v)
#else
#define SERVES(a, v) (a_ring[a] == v && now < a_lease[a])
#endif
#ifdef NO_HISTORY
#define KNOWS(a) true
#else
#define KNOWS(a) (made > a_since[a])
#endif

active proctype clock() {
end:
    do
    :: now < MAXTIME -> now++
    :: now == MAXTIME -> break
    od
}

/* The duty holder renews leases and moves the range; an agent that isn't
   reached keeps its old ring version until its lease ends. */
active proctype holder() {
    byte home;
end:
    do
    :: atomic { now < MAXTIME ->
        home = HOME(ring);
        if
        :: a_ring[home] != ring ->
            a_ring[home] = ring; a_since[home] = now; a_claim[home] = false
        :: else
        fi;
        a_lease[home] = now + LEASE;
        bound[home] = now + LEASE }
    :: atomic { ring < 3 && now < MAXTIME && MAY_MOVE -> ring++ }
    :: now == MAXTIME -> break
    od
}

/* An agent dies and restarts; it has lost its claims and waits for a lease. */
active proctype restarts() {
end:
    atomic { now < MAXTIME -> a_claim[0] = false; a_since[0] = now; a_lease[0] = 0; a_ring[0] = 0 };
    skip
}

proctype entry(byte me) {
    byte known, home, tries;
    bool lost, ran;
    /* The entry's view of the ring may be out of date. */
    atomic {
        if :: known = ring :: ring > 1 -> known = ring - 1 fi;
        tries = 1
    };
claim:
    /* The claim arrives at any later time. */
    atomic {
        home = HOME(known);
        lost = false;
        if
        :: !SERVES(home, known) && tries < 2 -> known = ring; tries++; goto claim
        :: !SERVES(home, known) && tries == 2 -> goto not_run
        :: SERVES(home, known) && (a_claim[home] || !KNOWS(home)) -> goto uncertain
        :: SERVES(home, known) && !a_claim[home] && KNOWS(home) -> a_claim[home] = true;
            /* The answer may be lost. */
            if :: lost = true :: skip fi
        fi
    };
    if
    :: lost -> goto uncertain
    :: !lost
    fi;
    /* Dispatch to any agent; the run may happen much later, and the answer may
       be lost. */
    if
    :: atomic { runs++; ran = true;
        assert(runs <= 1);
#ifdef REACH
        assert(ring == 1);
#endif
       }
    :: skip     /* the request is lost on the way */
    fi;
#ifdef RETRY_UNCERTAIN
    atomic {
        a_claim[home] = false;
        if
        :: tries < 2 -> tries++; goto claim
        :: tries == 2 -> goto not_run
        fi
    };
#else
    goto uncertain;
#endif
not_run:
    assert(!ran);
uncertain:
    skip
}

init {
    /* The key is made now; the home took the range over before or later. */
    atomic {
        a_ring[0] = 1; a_lease[0] = LEASE;
        if :: made = 1 :: made = 2 :: made = 3 fi;
    }
    now >= made;
    atomic { run entry(0); run entry(1) }
}

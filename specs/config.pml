/*
 * Configuration versions with lost answers (design page, section 8.6).
 *
 * Two operators change the same base version. Each write may be delayed, and
 * its answer may be lost; the entry then reads back by the change's id and may
 * send the write once more, while the first copy is still on its way. An entry's
 * reads are answered out of order.
 *
 * Checked: an accepted change is applied exactly once, a rejected one never, and
 * a view never moves to a lower version.
 *
 * Broken variants: NO_READ_BACK (a lost answer counts as a rejection), NO_CAS
 * (the write doesn't compare the version), HEAD_ONLY (the read-back looks at the
 * head instead of the wanted version's change), NO_MONOTONIC (a view takes any
 * answer).
 * Reachability: REACH (a lost answer is resolved as accepted behind a later change).
 */
#define MAXVERSION 4

byte head;                      /* accepted version */
byte stored[MAXVERSION + 1];    /* change of each version: operator + 1 */
byte applied[2];                /* how often each change was applied */

#define UNKNOWN 0
#define DONE 1
#define CONFLICT 2
byte copies[2];                 /* copies of each operator's write on their way */
byte outcome[2];                /* outcome of the last copy */
byte base[2];
bool rejected[2];

/* The store applies a copy at any time; the answer may be lost. */
active proctype store() {
    byte i;
end:
    do
    :: atomic { copies[0] > 0 || copies[1] > 0 ->
        if
        :: copies[0] > 0 -> i = 0
        :: copies[1] > 0 -> i = 1
        fi;
        copies[i]--;
        if
#ifdef NO_CAS
        :: head < MAXVERSION ->
#else
        :: head == base[i] ->
#endif
            head++;
            stored[head] = i + 1;
            applied[i]++;
            assert(applied[i] <= 1);
            assert(!rejected[i]);
            if :: outcome[i] = DONE :: skip fi
        :: else ->
            if :: outcome[i] = CONFLICT :: skip fi
        fi;
        i = 0 }
    od
}

proctype operator(byte me) {
    byte tries, seen, change;
    base[me] = head;
send:
    atomic { copies[me]++; tries++; outcome[me] = UNKNOWN };
    if
    :: outcome[me] == DONE -> goto accepted
    :: outcome[me] == CONFLICT
    :: outcome[me] == UNKNOWN     /* the answer is lost or too late */
#ifdef NO_READ_BACK
        -> goto refused
#endif
    fi;
    atomic {
        seen = head;
#ifdef HEAD_ONLY
        change = stored[head]
#else
        change = stored[base[me] + 1]
#endif
    };
    if
    :: change == me + 1 ->
#ifdef REACH
        assert(seen == base[me] + 1);
#endif
        goto accepted
    :: change != me + 1 && seen > base[me] -> goto refused
    :: change != me + 1 && seen <= base[me] && tries < 2 -> goto send
    /* The operator is told that the outcome is still open. */
    :: change != me + 1 && seen <= base[me] && tries == 2 -> goto open
    fi;
accepted:
    assert(applied[me] == 1);
    goto open;
refused:
    atomic { rejected[me] = true; assert(applied[me] == 0) };
open:
    atomic { tries = 0; seen = 0; change = 0 }
}

/* A third change that follows the first, without conflicts of its own. */
active proctype later() {
end:
    atomic { head == 1 -> head = 2; stored[2] = 3 }
}

inline take(answer, version) {
    if
#ifdef NO_MONOTONIC
    :: true ->
#else
    :: answer >= version ->
#endif
        assert(answer >= version);
        version = answer
    :: else
    fi
}

/* Two reads of one entry, answered in any order. */
active proctype view() {
    byte version, r[2];
    bool sent[2];
end:
    do
    :: atomic { !sent[0] -> r[0] = head; sent[0] = true }
    :: atomic { !sent[1] -> r[1] = head; sent[1] = true }
    :: atomic { sent[0] -> sent[0] = false; take(r[0], version); r[0] = 0 }
    :: atomic { sent[1] -> sent[1] = false; take(r[1], version); r[1] = 0 }
    od
}

init {
    atomic { run operator(0); run operator(1) }
}

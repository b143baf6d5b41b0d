/*
 * Configuration versions with lost replies (design page, section 8.6).
 *
 * Two operators change the same base version. Each write may be delayed, and its
 * reply may be lost. The entry then reads the row of the wanted version, looks for
 * the change's id and may send the write once more while the first copy is still
 * in flight. The replies to an entry's reads arrive out of order.
 *
 * Checked: an accepted change is applied exactly once, a rejected one never, and
 * the version of a view never decreases.
 *
 * Broken variants: NO_READ_BACK (a lost reply counts as a rejection), NO_CAS (the
 * write doesn't compare the version), HEAD_ONLY (the entry reads the change of the
 * head instead of that of the wanted version), NO_MONOTONIC (a view applies any
 * reply).
 * Reachability: REACH (a change is recognized as accepted after a later change).
 */
#define MAXVERSION 4

byte head;                    /* accepted version */
byte stored[MAXVERSION + 1];  /* change of each version: operator + 1 */
byte applied[2];              /* number of times that each change was applied */

#define UNKNOWN 0
#define DONE 1
#define CONFLICT 2
byte copies[2];         /* copies of each operator's write in flight */
byte outcome[2];        /* outcome of the last copy */
byte base[2];
bool rejected[2];

/* The store applies a copy at any time; the reply may be lost. */
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

proctype operator(byte id) {
    byte attempts, read_head, change;
    base[id] = head;
send:
    atomic { copies[id]++; attempts++; outcome[id] = UNKNOWN };
    if
    :: outcome[id] == DONE -> goto accepted
    :: outcome[id] == CONFLICT
    :: outcome[id] == UNKNOWN     /* the reply is lost or too late */
#ifdef NO_READ_BACK
        -> goto rejection
#endif
    fi;
    atomic {
        read_head = head;
#ifdef HEAD_ONLY
        change = stored[head]
#else
        change = stored[base[id] + 1]
#endif
    };
    if
    :: change == id + 1 ->
#ifdef REACH
        assert(read_head == base[id] + 1);
#endif
        goto accepted
    :: change != id + 1 && read_head > base[id] -> goto rejection
    :: change != id + 1 && read_head <= base[id] && attempts < 2 -> goto send
    /* The entry replies that the outcome is unknown. */
    :: change != id + 1 && read_head <= base[id] && attempts == 2 -> goto unresolved
    fi;
accepted:
    assert(applied[id] == 1);
    goto unresolved;
rejection:
    atomic { rejected[id] = true; assert(applied[id] == 0) };
unresolved:
    atomic { attempts = 0; read_head = 0; change = 0 }
}

/* A third change follows the first one, without conflicts of its own. */
active proctype third_change() {
end:
    atomic { head == 1 -> head = 2; stored[2] = 3 }
}

inline apply_read(read, version) {
    if
#ifdef NO_MONOTONIC
    :: true ->
#else
    :: read >= version ->
#endif
        assert(read >= version);
        version = read
    :: else
    fi
}

/* Two reads of one entry whose replies arrive in any order. */
active proctype view() {
    byte version, reads[2];
    bool is_sent[2];
end:
    do
    :: atomic { !is_sent[0] -> reads[0] = head; is_sent[0] = true }
    :: atomic { !is_sent[1] -> reads[1] = head; is_sent[1] = true }
    :: atomic { is_sent[0] -> is_sent[0] = false; apply_read(reads[0], version); reads[0] = 0 }
    :: atomic { is_sent[1] -> is_sent[1] = false; apply_read(reads[1], version); reads[1] = 0 }
    od
}

init {
    atomic { run operator(0); run operator(1) }
}

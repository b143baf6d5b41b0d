/*
 * Taking a zone out of service with start rights that expire (design page,
 * section 8.3).
 *
 * An entry reads the zone's row, and an agent sends a request to the entry. Both
 * measure validity from the time at which they sent the request. Replies arrive
 * late and out of order. The agent and the entry may be paused between a check and
 * the effect. The zone is taken out of service and returned to service.
 *
 * Checked: no task starts more than START_LIMIT ticks after the zone was taken out
 * of service; the version of the agent's view never decreases.
 *
 * Broken variants: NO_EXPIRY (rights don't expire), NO_RECHECK (no check at the
 * effect), FROM_ARRIVAL (remaining time is counted from the arrival of the reply),
 * BY_ARRIVAL (the last reply is applied, whatever its version).
 * Reachability: REACH (a task starts after the zone was returned to service).
 */
#define VALIDITY 2      /* validity of a right from the request */
#define START_LIMIT 3

/* Times are relative to the current tick, so the model has no end: *_left is the
   remaining validity of a right, *_age the age of a request. */
byte version = 1;       /* odd: open; even: out of service */
byte closed_age;        /* ticks since the zone was taken out of service */

byte e_version, e_left;  /* the entry's view */
byte a_version, a_left;  /* the agent's view */

/* One read of the store and two requests to the entry in flight. Version 0 means
   that the request hasn't arrived yet. */
bool read_sent; byte read_version, read_left;
bool msg_sent[2]; byte msg_version[2], msg_age[2], msg_left[2];

#define OPEN(v) (v % 2 == 1)
#ifdef NO_EXPIRY
#define MAY_START (OPEN(a_version))
#else
#define MAY_START (OPEN(a_version) && a_left > 0)
#endif

inline decrease(left) { if :: left > 0 -> left-- :: else fi }

inline increase(age, limit) { if :: age < limit -> age++ :: else fi }

active proctype clock() {
end:
    do
    :: atomic {
        decrease(e_left); decrease(a_left); decrease(read_left);
#ifndef FROM_ARRIVAL
        decrease(msg_left[0]); decrease(msg_left[1]);
#endif
        if :: msg_sent[0] && msg_version[0] == 0 -> increase(msg_age[0], VALIDITY) :: else fi;
        if :: msg_sent[1] && msg_version[1] == 0 -> increase(msg_age[1], VALIDITY) :: else fi;
        if :: version == 2 -> increase(closed_age, START_LIMIT + 1) :: else fi }
    od
}

active proctype operators() {
end:
    version == 1 -> version = 2;
end2:
    atomic { version == 2 -> version = 3; closed_age = 0 }
}

/* The store replies at any time after the request. */
active proctype entry() {
end:
    do
    :: atomic { !read_sent -> read_sent = true; read_left = VALIDITY }
    :: atomic { read_sent && read_version == 0 -> read_version = version }
    :: atomic { read_sent && read_version != 0 ->
        if
        :: read_version > e_version -> e_version = read_version; e_left = read_left
        :: read_version == e_version && read_left > e_left -> e_left = read_left
        :: else
        fi;
        read_sent = false; read_left = 0; read_version = 0 }
    od
}

inline reply(i) {
    msg_version[i] = e_version;
#ifdef FROM_ARRIVAL
    msg_left[i] = e_left;
#else
    msg_left[i] = (e_left > msg_age[i] -> e_left - msg_age[i] : 0);
#endif
    msg_age[i] = 0
}

inline apply_reply(i) {
    if
#ifdef BY_ARRIVAL
    :: true ->
        assert(msg_version[i] >= a_version);
#else
    :: msg_version[i] > a_version ->
#endif
        a_version = msg_version[i]; a_left = msg_left[i]
#ifndef BY_ARRIVAL
    :: msg_version[i] == a_version && msg_left[i] > a_left -> a_left = msg_left[i]
    :: else
#endif
    fi;
    msg_sent[i] = false; msg_version[i] = 0; msg_left[i] = 0
}

active proctype link() {
end:
    do
    :: atomic { !msg_sent[0] -> msg_sent[0] = true }
    :: atomic { !msg_sent[1] -> msg_sent[1] = true }
    :: atomic { msg_sent[0] && msg_version[0] == 0 && e_version != 0 -> reply(0) }
    :: atomic { msg_sent[1] && msg_version[1] == 0 && e_version != 0 -> reply(1) }
    :: atomic { msg_sent[0] && msg_version[0] != 0 -> apply_reply(0) }
    :: atomic { msg_sent[1] && msg_version[1] != 0 -> apply_reply(1) }
    od
}

active proctype agent() {
end:
    do
    :: MAY_START ->
        /* The agent may be paused here. */
end2:   atomic {
            if
#ifdef NO_RECHECK
            :: true ->
#else
            :: MAY_START ->
#endif
                assert(version != 2 || closed_age <= START_LIMIT);
#ifdef REACH
                assert(a_version != 3);
#endif
            :: else
            fi
        }
    od
}

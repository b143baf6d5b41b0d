/*
 * Zone take-out with start rights that expire (design page, section 8.3).
 *
 * An entry reads the zone's row; an agent asks the entry; both count from when
 * they asked. Answers arrive late and out of order. The agent and the entry may
 * be frozen between a check and the effect. The zone is taken out and brought back.
 *
 * Checked: no task starts more than LIMIT ticks into a take-out; the agent's
 * view of the zone never goes back to an earlier version.
 *
 * Broken variants: NO_EXPIRY (rights don't expire), NO_RECHECK (no check at the
 * effect), FROM_ARRIVAL (remaining time counted from the arrival of the answer),
 * BY_ARRIVAL (the last answer wins, whatever its version).
 * Reachability: REACH (a task starts after the zone came back).
 */
#define RIGHT 2         /* life of a right from the read */
#define LIMIT 3

/* Times are relative to now, so the model has no end: *_left is what is left of
   a right, *_age the age of a question. */
byte version = 1;       /* odd: open; even: taken out */
byte out_age;           /* age of the take-out */

byte e_version, e_left;         /* the entry's view */
byte a_version, a_left;         /* the agent's view */

/* One answer on its way from the store and two from the entry; version 0 means
   that the question hasn't arrived yet. */
bool r_sent; byte r_version, r_left;
bool m_sent[2]; byte m_version[2], m_age[2], m_left[2];

#define OPEN(v) (v % 2 == 1)
#ifdef NO_EXPIRY
#define MAY_START (OPEN(a_version))
#else
#define MAY_START (OPEN(a_version) && a_left > 0)
#endif

inline less(left) { if :: left > 0 -> left-- :: else fi }

inline more(age, limit) { if :: age < limit -> age++ :: else fi }

active proctype clock() {
end:
    do
    :: atomic {
        less(e_left); less(a_left); less(r_left);
#ifndef FROM_ARRIVAL
        less(m_left[0]); less(m_left[1]);
#endif
        if :: m_sent[0] && m_version[0] == 0 -> more(m_age[0], RIGHT) :: else fi;
        if :: m_sent[1] && m_version[1] == 0 -> more(m_age[1], RIGHT) :: else fi;
        if :: version == 2 -> more(out_age, LIMIT + 1) :: else fi }
    od
}

active proctype operators() {
end:
    version == 1 -> version = 2;
end2:
    atomic { version == 2 -> version = 3; out_age = 0 }
}

/* The store answers at any time after the question. */
active proctype entry() {
end:
    do
    :: atomic { !r_sent -> r_sent = true; r_left = RIGHT }
    :: atomic { r_sent && r_version == 0 -> r_version = version }
    :: atomic { r_sent && r_version != 0 ->
        if
        :: r_version > e_version -> e_version = r_version; e_left = r_left
        :: r_version == e_version && r_left > e_left -> e_left = r_left
        :: else
        fi;
        r_sent = false; r_left = 0; r_version = 0 }
    od
}

inline reply(i) {
    m_version[i] = e_version;
#ifdef FROM_ARRIVAL
    m_left[i] = e_left;
#else
    m_left[i] = (e_left > m_age[i] -> e_left - m_age[i] : 0);
#endif
    m_age[i] = 0
}

inline take(i) {
    if
#ifdef BY_ARRIVAL
    :: true ->
        assert(m_version[i] >= a_version);
#else
    :: m_version[i] > a_version ->
#endif
        a_version = m_version[i]; a_left = m_left[i]
#ifndef BY_ARRIVAL
    :: m_version[i] == a_version && m_left[i] > a_left -> a_left = m_left[i]
    :: else
#endif
    fi;
    m_sent[i] = false; m_version[i] = 0; m_left[i] = 0
}

active proctype link() {
end:
    do
    :: atomic { !m_sent[0] -> m_sent[0] = true }
    :: atomic { !m_sent[1] -> m_sent[1] = true }
    :: atomic { m_sent[0] && m_version[0] == 0 && e_version != 0 -> reply(0) }
    :: atomic { m_sent[1] && m_version[1] == 0 && e_version != 0 -> reply(1) }
    :: atomic { m_sent[0] && m_version[0] != 0 -> take(0) }
    :: atomic { m_sent[1] && m_version[1] != 0 -> take(1) }
    od
}

active proctype agent() {
end:
    do
    :: MAY_START ->
        /* A freeze may lie here. */
end2:   atomic {
            if
#ifdef NO_RECHECK
            :: true ->
#else
            :: MAY_START ->
#endif
                assert(version != 2 || out_age <= LIMIT);
#ifdef REACH
                assert(a_version != 3);
#endif
            :: else
            fi
        }
    od
}

/*
 * Start permits: a request or task is started at most once, an answer "not run"
 * is never false, and nothing starts long after its permit was issued.
 *
 * One entry has one piece of work that must not run twice. It sends the work to
 * an agent under a permit (incarnation, epoch). The agent obtains a short lease
 * from the worker and then starts the work there. A message that was sent stays
 * in flight for ever: it may arrive late, never or repeatedly. Ages are counted
 * on the agent's clock in ticks and saturate where they no longer matter. After
 * "not run" the entry tries the next permit or another worker.
 * Because of the limit on the grant's delay, checking the permit's age again
 * after the grant makes no difference in the model; it is kept as a redundant
 * guard.
 *
 * Broken variants, each of which must fail:
 *   NO_EXPIRY           a start is admitted whatever the permit's age
 *   NO_INCARNATION      a restarted agent admits permits issued before it
 *   NO_DUPLICATE_CHECK  a start that was admitted before is admitted again
 *   NO_REFUSAL_MEMORY   a start that was refused may be admitted later
 *   FORGOTTEN_IS_NOT_RUN a forgotten epoch is answered with "not run"
 *   EARLY_NOT_RUN       "not run" is answered while the permit is in force
 *   NO_GRANT_LIMIT      a worker lease that was granted late is used
 *   NO_WORKER_LEASE     the worker starts whatever arrives
 *   NO_LISTING_WAIT     a restarted agent lists before earlier leases lapsed
 */

#define LIFETIME 3    /* ticks for which a permit is in force */
#define GRANT_LIMIT 1 /* ticks within which a worker lease must be granted */
#define FORGET 4      /* age in ticks at which an epoch is forgotten */
#define OLDEST 4      /* ages saturate here; LIFETIME + GRANT_LIMIT */
#define INCARNATIONS 2
#define EPOCHS 2
/* INCARNATIONS * EPOCHS; a permit's number is incarnation * EPOCHS + epoch. */
#define PERMITS 4

/* Messages in flight, one bit per permit. */
bool start_sent[PERMITS];
bool query_sent[PERMITS];
bool not_run_sent[PERMITS];

/* The agent. */
byte incarnation;       /* current incarnation, from 0 */
byte issued;            /* epochs issued in this incarnation */
byte age[PERMITS];      /* ticks since issue; keeps counting after a restart */
bool issued_ever[PERMITS];
bool admitted[PERMITS]; /* in memory; lost at a restart */
bool refused[PERMITS];  /* in memory; lost at a restart */
byte pending_grant = PERMITS; /* permit for which a lease was requested */
byte grant_wait;              /* ticks since the request */
byte since_restart = LIFETIME;
bool reported_ended; /* a later incarnation reported the first one's work as
                      * not running */

/* The worker. */
byte lease_ttl[PERMITS];  /* requested time; 0 while not requested */
bool lease_given[PERMITS];
byte lease_left[PERMITS]; /* ticks */
bool start_at_worker[PERMITS];
bool lease_used[PERMITS];

/* The entry: the permit in use; PERMITS while none is. */
byte current = PERMITS;
bool elsewhere; /* the work was started on another worker */

byte runs; /* number of starts of the work on any worker */

inline tick()
{
    d_step {
        i = 0;
        do
        :: i < PERMITS ->
            if
            :: issued_ever[i] && age[i] < OLDEST -> age[i]++
            :: else
            fi;
            if
            :: lease_left[i] > 0 -> lease_left[i]--
            :: else
            fi;
            i++
        :: else -> break
        od;
        if
        :: pending_grant < PERMITS && grant_wait <= GRANT_LIMIT -> grant_wait++
        :: else
        fi;
        if
        :: since_restart < LIFETIME -> since_restart++
        :: else
        fi;
        i = 0
    }
}

inline restart()
{
    d_step {
        incarnation++;
        issued = 0;
        pending_grant = PERMITS;
        grant_wait = 0;
        since_restart = 0;
        i = 0;
        do
        :: i < PERMITS -> admitted[i] = false; refused[i] = false; i++
        :: else -> break
        od;
        i = 0
    }
}

#ifdef NO_EXPIRY
#define IN_FORCE(p) true
#else
#define IN_FORCE(p) (age[p] < LIFETIME)
#endif
#ifdef NO_INCARNATION
#define OWN(p) true
#else
#define OWN(p) (p / EPOCHS == incarnation)
#endif
#ifdef NO_DUPLICATE_CHECK
#define REPEATED(p) false
#else
#define REPEATED(p) admitted[p]
#endif
#ifdef NO_REFUSAL_MEMORY
#define REFUSED(p) false
#else
#define REFUSED(p) refused[p]
#endif
#ifdef FORGOTTEN_IS_NOT_RUN
#define KNOWN(p) true
#else
#define KNOWN(p) (age[p] < FORGET)
#endif
#ifdef EARLY_NOT_RUN
#define LAPSED(p) true
#else
#define LAPSED(p) (age[p] >= LIFETIME)
#endif
#ifdef NO_GRANT_LIMIT
#define GRANT_IN_TIME true
#else
#define GRANT_IN_TIME (grant_wait <= GRANT_LIMIT)
#endif
#ifdef NO_WORKER_LEASE
#define LEASED(p) true
#else
#define LEASED(p) (lease_left[p] > 0 && !lease_used[p])
#endif
#ifdef NO_LISTING_WAIT
#define LEASES_LAPSED true
#else
#define LEASES_LAPSED (since_restart >= LIFETIME)
#endif

active proctype system()
{
    byte i;
    byte p;

end:
    do
    /* Time passes. */
    :: atomic { tick() }

    /* The agent restarts as a new incarnation. */
    :: atomic { incarnation < INCARNATIONS - 1 -> restart() }

    /* A heartbeat issues the next epoch. */
    :: atomic {
        issued < EPOCHS ->
        issued_ever[incarnation * EPOCHS + issued] = true;
        issued++
    }

    /* The entry sends the work under a permit that it has received. */
    :: atomic {
        current == PERMITS && !elsewhere ->
        select (p : 0 .. PERMITS - 1);
        if
        :: issued_ever[p] && !start_sent[p] ->
            start_sent[p] = true;
            current = p
        :: else
        fi;
        p = 0
    }

    /* The entry has no answer and queries the agent. */
    :: atomic {
        current < PERMITS && !query_sent[current] ->
        query_sent[current] = true
    }

    /* The entry receives "not run" and may try again. */
    :: atomic {
        current < PERMITS && not_run_sent[current] ->
        current = PERMITS;
        if
        :: true
        :: elsewhere = true; runs++; assert(runs <= 1)
        fi
    }

    /* A start reaches the agent. */
    :: atomic {
        select (p : 0 .. PERMITS - 1);
        if
        :: start_sent[p] && OWN(p) && IN_FORCE(p) && !REPEATED(p) &&
           !REFUSED(p) && pending_grant == PERMITS ->
            if
            :: admitted[p] = true; /* capacity is free */
                pending_grant = p;
                grant_wait = 0;
                if
                :: lease_ttl[p] == 0 && age[p] < LIFETIME ->
                    lease_ttl[p] = LIFETIME - age[p]
                :: lease_ttl[p] == 0 && age[p] >= LIFETIME ->
                    lease_ttl[p] = 1
                :: else
                fi
            :: refused[p] = true; /* no capacity */
                not_run_sent[p] = true
            fi
        :: start_sent[p] && !REPEATED(p) && !OWN(p) ->
            skip /* another incarnation's permit: its outcome is unknown */
        :: else
        fi;
        p = 0
    }

    /* A query reaches the agent. */
    :: atomic {
        select (p : 0 .. PERMITS - 1);
        if
        :: query_sent[p] && OWN(p) && LAPSED(p) && KNOWN(p) && !admitted[p] ->
            not_run_sent[p] = true
        :: else
        fi;
        p = 0
    }

    /* The agent drops its record of an old epoch. */
    :: atomic {
        select (p : 0 .. PERMITS - 1);
        if
        :: age[p] >= FORGET && p != pending_grant ->
            admitted[p] = false; refused[p] = false
        :: else
        fi;
        p = 0
    }

    /* The worker grants a lease; the request may have been delayed. */
    :: atomic {
        select (p : 0 .. PERMITS - 1);
        if
        :: lease_ttl[p] > 0 && !lease_given[p] ->
            lease_given[p] = true;
            lease_left[p] = lease_ttl[p];
            lease_ttl[p] = 1 /* the amount no longer matters */
        :: else
        fi;
        p = 0
    }

    /* The agent receives the grant, and starts or abandons the work. */
    :: atomic {
        pending_grant < PERMITS && lease_given[pending_grant] ->
        if
        :: age[pending_grant] < LIFETIME && GRANT_IN_TIME ->
            start_at_worker[pending_grant] = true
        :: else ->
            not_run_sent[pending_grant] = true
        fi;
        pending_grant = PERMITS;
        grant_wait = 0
    }

    /* A start reaches the worker. */
    :: atomic {
        select (p : 0 .. PERMITS - 1);
        if
        :: start_at_worker[p] && LEASED(p) ->
            lease_used[p] = true;
            lease_left[p] = 0;
            runs++;
            assert(runs <= 1);
            assert(!(reported_ended && p < EPOCHS));
            assert(age[p] < LIFETIME + GRANT_LIMIT)
        :: else
        fi;
        p = 0
    }

    /* A restarted agent lists the worker's tasks; the work is not running. */
    :: atomic {
        incarnation > 0 && LEASES_LAPSED && current < EPOCHS &&
            !reported_ended && runs == 0 ->
        reported_ended = true
    }
    od
}

/*
 * The operators' table: no task starts LIFETIME ticks or later after an edit
 * took its failure domain out, and no process returns to an older revision,
 * also across restarts.
 *
 * The store holds the table's revision, which an edit raises by
 * compare-and-swap. Both entries edit; only entry 0 places. An entry uses the
 * revision that it read last, and answers to reads may be delayed arbitrarily.
 * A placement is a write that compares the table's revision; it may be applied
 * at any later time, and its answer may be late or lost. The start quotes a
 * permit issued before the placement was written. One agent admits starts and,
 * without access to the store, requests; it adopts the revisions that entries
 * send to it. The store and the links may be down at any point, which the model
 * expresses by a step not being taken.
 * In revision 1 the domain is in; an edit takes it out (2), and another edit
 * follows (3).
 *
 * Broken variants, each of which must fail:
 *   NO_TABLE_COMPARE    a placement does not compare the table's revision
 *   PERMIT_FROM_RECEIPT the permit counts from the entry's receipt
 *   NO_EXPIRY           a permit never expires
 *   START_BEFORE_COMMIT the start is sent with the placement still in flight
 *   ADOPT_ANY           a process adopts any revision that it receives
 *   NO_EDIT_COMPARE     an edit does not compare the revision it was based on
 *   PEER_AT_RESTART     a restarted agent acts on what one entry reports
 */

#define LIFETIME 2 /* ticks for which a permit is in force */
#define ENTRIES 2
#define IN 1
#define LAST 3 /* highest revision */

byte revision = IN;     /* in the store */
byte since_out;         /* ticks since the domain was taken out */
bool edit_lost;         /* an accepted edit was overwritten */

byte known[ENTRIES];    /* revision in use; 0 right after a restart */
byte answer[ENTRIES];   /* revision in a read's answer that is in flight */
byte edit_base[ENTRIES];  /* base of the edit in flight; 0 for none */

byte permit;   /* age in ticks; LIFETIME if there is none or it expired */
bool placing;  /* a placement is in flight */
byte place_base;
bool placed;   /* the placement was committed */
bool start_sent;

byte agent;             /* the agent's revision; 0 right after a restart */
byte heartbeat_revision[ENTRIES]; /* in a heartbeat answer in flight */
byte highest_used;      /* highest revision that any incarnation acted on */
bool agent_from_store;  /* read from the store since the last restart */

#ifdef NO_TABLE_COMPARE
#define TABLE_UNCHANGED true
#else
#define TABLE_UNCHANGED (place_base == revision)
#endif
#ifdef NO_EDIT_COMPARE
#define BASE_UNCHANGED(e) true
#else
#define BASE_UNCHANGED(e) (edit_base[e] == revision)
#endif
#ifdef ADOPT_ANY
#define NEWER(new, old) true
#else
#define NEWER(new, old) (new > old)
#endif
#ifdef NO_EXPIRY
#define IN_FORCE true
#else
#define IN_FORCE (permit < LIFETIME)
#endif
#ifdef PEER_AT_RESTART
#define MAY_ACT (agent > 0)
#else
#define MAY_ACT (agent > 0 && agent_from_store)
#endif

inline tick()
{
    d_step {
        if
        :: permit < LIFETIME -> permit++
        :: else
        fi;
        if
        :: revision > IN && since_out < LIFETIME -> since_out++
        :: else
        fi
    }
}

active proctype system()
{
    byte e;

    permit = LIFETIME;

end:
    do
    :: tick()

    /* An entry restarts without state; its messages stay in flight. */
    :: atomic {
        select (e : 0 .. ENTRIES - 1);
        known[e] = 0;
        answer[e] = 0;
        e = 0
    }

    /* The store answers a read; the answer is now in flight. */
    :: atomic {
        select (e : 0 .. ENTRIES - 1);
        if
        :: answer[e] == 0 && known[e] < LAST -> answer[e] = revision
        :: else
        fi;
        e = 0
    }

    /* The answer arrives, possibly after a newer revision. */
    :: atomic {
        select (e : 0 .. ENTRIES - 1);
        if
        :: answer[e] > 0 && NEWER(answer[e], known[e]) ->
            assert(answer[e] >= known[e]);
            known[e] = answer[e]
        :: else
        fi;
        answer[e] = 0;
        e = 0
    }

    /* An operator edits through an entry, based on the entry's revision. */
    :: atomic {
        select (e : 0 .. ENTRIES - 1);
        if
        :: known[e] > 0 && known[e] < LAST && edit_base[e] == 0 &&
           revision < LAST ->
            edit_base[e] = known[e]
        :: else
        fi;
        e = 0
    }

    /* The edit is applied, or its comparison fails. */
    :: atomic {
        select (e : 0 .. ENTRIES - 1);
        if
        :: edit_base[e] > 0 && BASE_UNCHANGED(e) ->
            assert(edit_base[e] + 1 > revision);
            revision = edit_base[e] + 1;
            if
            :: NEWER(revision, known[e]) && known[e] > 0 -> known[e] = revision
            :: true /* the answer was lost */
            fi
        :: else
        fi;
        edit_base[e] = 0;
        e = 0
    }

    /* A heartbeat delivers a permit. PERMIT_FROM_RECEIPT resets its age when
     * the start is sent, although it may have been issued two ticks ago. */
    :: atomic {
        true;
        if
        :: !placing && !placed && permit >= LIFETIME ->
#ifdef PERMIT_FROM_RECEIPT
            skip
#else
            permit = 0
#endif
        :: else
        fi
    }

    /* An entry writes a placement while the domain is in by its revision. */
    :: atomic {
        true;
        if
        :: known[0] == IN && !placing && !placed ->
            placing = true;
            place_base = known[0];
#ifdef START_BEFORE_COMMIT
            start_sent = true;
#endif
        :: else
        fi
    }

    /* The placement is applied, or its comparison fails. */
    :: atomic {
        true;
        if
        :: placing && TABLE_UNCHANGED -> placed = true
        :: else
        fi;
        placing = false;
        place_base = 0
    }

    /* The start is sent, however late the answer to the commit arrived. */
    :: atomic {
        true;
        if
        :: placed && !start_sent ->
            start_sent = true;
#ifdef PERMIT_FROM_RECEIPT
            permit = 0
#endif
        :: else
        fi
    }

    /* The start reaches the agent. */
    :: atomic {
        true;
        if
        :: start_sent ->
            if
            :: IN_FORCE -> assert(revision == IN || since_out < LIFETIME)
            :: else
            fi;
            start_sent = false;
            placed = false;
            permit = LIFETIME
        :: else
        fi
    }

    /* An entry answers the agent's heartbeat with its revision. */
    :: atomic {
        select (e : 0 .. ENTRIES - 1);
        if
        :: known[e] > 0 && heartbeat_revision[e] == 0 ->
            heartbeat_revision[e] = known[e]
        :: else
        fi;
        e = 0
    }

    /* The answer arrives at the agent. */
    :: atomic {
        select (e : 0 .. ENTRIES - 1);
        if
        :: heartbeat_revision[e] > 0 && NEWER(heartbeat_revision[e], agent) ->
            assert(heartbeat_revision[e] >= agent);
            agent = heartbeat_revision[e]
        :: else
        fi;
        heartbeat_revision[e] = 0;
        e = 0
    }

    /* The agent reads the store itself. */
    :: atomic {
        true;
        if
        :: NEWER(revision, agent) -> agent = revision
        :: else
        fi;
        agent_from_store = true
    }

    /* The agent starts a request under its revision. */
    :: atomic {
        MAY_ACT ->
        assert(agent >= highest_used);
        highest_used = agent
    }

    /* The agent restarts. */
    :: atomic {
        agent = 0;
        agent_from_store = false;
        heartbeat_revision[0] = 0;
        heartbeat_revision[1] = 0
    }
    od
}

/*
 * Contact lease, fence and succession of one shard among three members.
 *
 * Time advances in ticks; a row is valid up to age F, and a fence clears after F more ticks. No step must happen by a
 * deadline, so a paused, killed or slow member is one that takes no step. Every request and response can be lost or delayed.
 * A member may fence another whenever it holds its own lease, and may claim the shard whenever it does not own it, which
 * covers every value of D and every difference between roster views.
 *
 * Members 0 and 1 compete; member 0 ranks higher, and INITIAL owns at the start. Member 2 votes only: it may fence at
 * any time, so that it needs no rows of its own, is never fenced itself and has nothing to hand over.
 */
#ifndef INITIAL
#define INITIAL 0
#endif
#define F 1
#define NONE 3
#define IX(a, b) ((a) * 3 + (b))

/* Handover between a claimant and another member. */
#define IDLE 0
#define ASKED 1
#define ANSWERED 2
#define LATE 3

byte age[9];    /* upper bound of the age of b's row at a */
bool fenced[9]; /* a has fenced b */
bool vote[9];   /* a knows that the third member has fenced b */
byte waited[9]; /* ticks since a received the majority's fence of b */
bool over[3];   /* the member received its own fence and ended its incarnation */
byte target[2]; /* destination of the pull in flight */
byte sent[2];   /* ticks since the pull was sent */
byte row[2];    /* fences in the response */
bool owner[2];
bool claims[2];
bool answer[2];   /* the other competitor answered the claim of a */
byte handover[2]; /* the call of a to the other competitor */

#ifdef MUTANT_NO_WAIT
#define CLEARED(a, b) (fenced[IX(a, b)] && vote[IX(a, b)])
#else
#ifdef MUTANT_OWN_FENCE_ONLY
#define CLEARED(a, b) (fenced[IX(a, b)] && waited[IX(a, b)] > F)
#else
#define CLEARED(a, b) (fenced[IX(a, b)] && vote[IX(a, b)] && waited[IX(a, b)] > F)
#endif
#endif

#define CONTACT(a, b) (age[IX(a, b)] <= F && !fenced[IX(a, b)])
#define LEASE(a) (!over[a] && (CONTACT(a, (a + 1) % 3) || CONTACT(a, (a + 2) % 3)))
#define OWNS(a) (owner[a] && LEASE(a))

inline drop_claim(a) {
    claims[a] = false;
    answer[a] = false;
    if
    :: handover[a] == ASKED -> handover[a] = LATE
    :: handover[a] == ANSWERED -> handover[a] = IDLE
    :: else
    fi
}

inline adopt(a, b) {
    if
    :: (row[a] & (1 << b)) ->
        fenced[IX(a, b)] = true;
        if
        :: target[a] != b -> vote[IX(a, b)] = true
        :: else
        fi
    :: else
    fi
}

/*
 * Pull from j. The response holds j's fences at the moment the pull was sent, the oldest content that its age allows: a
 * request that arrives later returns newer content with the same age.
 */
inline pull(j) {
    d_step { !over[i] && target[i] == NONE && !fenced[IX(i, j)] && !over[j] ->
        target[i] = j; sent[i] = 0; row[i] = fenced[IX(j, 0)] | (fenced[IX(j, 1)] << 1) }
}

proctype competitor(byte i; byte j) {
end:
    do
    :: pull(j)
    :: pull(2)
    /* Receive the response of a pull. */
    :: d_step { target[i] != NONE ->
            if
            :: over[i] || fenced[IX(i, target[i])]
            :: else ->
                if
                :: (row[i] & (1 << i)) -> over[i] = true; owner[i] = false; drop_claim(i)
                :: else ->
                    adopt(i, j);
#ifdef MUTANT_AGE_AT_RECEIPT
                    age[IX(i, target[i])] = 0
#else
                    if
                    :: sent[i] < age[IX(i, target[i])] -> age[IX(i, target[i])] = sent[i]
                    :: else
                    fi
#endif
                fi
            fi;
            target[i] = NONE; sent[i] = 0; row[i] = 0 }
    /* Lose a pull. */
    :: d_step { target[i] != NONE -> target[i] = NONE; sent[i] = 0; row[i] = 0 }
    /* Fence the other. */
    :: d_step { LEASE(i) && !fenced[IX(i, j)] -> fenced[IX(i, j)] = true }
    /* Open or drop a claim. */
    :: d_step { !over[i] && !owner[i] && !claims[i] -> claims[i] = true }
    :: d_step { claims[i] -> drop_claim(i) }
    /* Request the shard from the other. */
    :: d_step { claims[i] && !answer[i] && handover[i] == IDLE -> handover[i] = ASKED }
    /* Answer the other's claim. */
    :: d_step { !over[i] && (handover[j] == ASKED || handover[j] == LATE) ->
            if
            :: fenced[IX(i, j)] || ((owner[i] || claims[i]) && i < j) -> handover[j] = IDLE
            :: else ->
#ifndef MUTANT_NO_PROMISE
                drop_claim(i);
#endif
#ifdef MUTANT_KEEP_UNTIL_CONFIRMED
                /* The owner continues until its response is confirmed, which never happens when the confirmation is lost. */
#else
                owner[i] = false;
#endif
                if
                :: handover[j] == ASKED -> handover[j] = ANSWERED
                :: else -> handover[j] = IDLE
                fi
            fi }
    /* Receive the answer. */
    :: d_step { handover[i] == ANSWERED -> handover[i] = IDLE; answer[i] = claims[i] }
    /* Lose the response, or time out on a request that may still arrive. */
    :: d_step { handover[i] == ANSWERED -> handover[i] = IDLE }
    :: d_step { handover[i] == ASKED -> handover[i] = LATE }
    /* Become the owner. */
    :: d_step { claims[i] && LEASE(i) && (answer[i] || CLEARED(i, j)) -> drop_claim(i); owner[i] = true }
    od
}

proctype voter(byte i) {
end:
    do
    :: d_step { !fenced[IX(2, 0)] -> fenced[IX(2, 0)] = true }
    :: d_step { !fenced[IX(2, 1)] -> fenced[IX(2, 1)] = true }
    od
}

/* Time advances for all members, including those that take no step. Values saturate at F + 1. */
proctype ticks() {
    byte a;
    byte b;
end:
    do
    :: d_step {
            a = 0;
            do
            :: a < 2 ->
                b = 0;
                do
                :: b < 3 ->
                    if
                    :: a != b && age[IX(a, b)] <= F -> age[IX(a, b)]++
                    :: else
                    fi;
                    if
#ifdef MUTANT_OWN_FENCE_ONLY
                    :: fenced[IX(a, b)] && waited[IX(a, b)] <= F -> waited[IX(a, b)]++
#else
                    :: fenced[IX(a, b)] && vote[IX(a, b)] && waited[IX(a, b)] <= F -> waited[IX(a, b)]++
#endif
                    :: else
                    fi;
                    b++
                :: else -> break
                od;
                if
                :: target[a] != NONE && sent[a] <= F -> sent[a]++
                :: else
                fi;
                a++
            :: else -> break
            od;
            a = 0;
            b = 0
        }
    od
}

proctype monitor() {
end:
    d_step { OWNS(0) && OWNS(1) -> assert(false) }
}

init {
    atomic {
        target[0] = NONE;
        target[1] = NONE;
        owner[INITIAL] = true;
        run competitor(0, 1);
        run competitor(1, 0);
        run voter(2);
        run ticks();
        run monitor()
    }
}

/*
 * Tokens of one organisation between the owner of its shard, a successor and two holders of delegations.
 *
 * The owner's bucket starts with LEVEL tokens and receives one more when a term has ended, so the tokens used must stay
 * within LEVEL plus the refills over every loss, crash and succession. A delegation states its term; the holder counts it
 * from the time at which it sent the request, and the owner from the time at which it responded. Time advances in ticks, and
 * no step must happen by a deadline.
 *
 * After a succession the level starts at 0 and refills, here in one step. The succession happens F after a majority has
 * fenced the first owner. By then each holder has either received the fence or lost its contact lease (the same
 * intersection of majorities that lease.pml checks). In both cases it discards the first owner's grants and ignores its late
 * responses. The tokens usable at one time therefore never exceed LEVEL, without waiting for the terms.
 */
#ifndef LEVEL
#define LEVEL 2
#endif
#define TERM 2
#define EXPIRED (TERM + 1)

/* Tokens that can be used now, by location. */
byte bucket[2];   /* level at the owner and at the successor */
byte held[2];     /* unused tokens of each holder's delegation */
byte held_for[2]; /* ticks at the holder since the request was sent */
byte request[2];  /* 0 none, 1 in flight */
byte asked_for[2];
byte response[2]; /* tokens in a response in flight */
bool answered[2];
byte booked[2];   /* tokens that the owner counts as delegated */
byte booked_for[2];
bool cut_off[2];  /* the holder has received the fence of the first owner, or lost its lease */
bool dead;        /* the first owner crashed or lost its lease for good */
bool issuing;     /* the successor issues */
byte used;        /* tokens used by anyone since the start */
byte refilled;    /* tokens that the plan's rate has added since the start */

#define AT_ONCE (bucket[0] + bucket[1] + held[0] + held[1])

inline expire(h) {
    held[h] = 0;
    held_for[h] = 0
}

proctype holder(byte h) {
end:
    do
    /* Request a delegation. */
    :: d_step { !request[h] && !answered[h] && held[h] == 0 -> request[h] = 1; asked_for[h] = 0 }
    /* Use the delegation within its term. */
    :: d_step { held[h] > 0 && held_for[h] < TERM -> held[h]--; used++ }
    /* Discard it at the end of the term. */
    :: d_step { held[h] > 0 && held_for[h] >= TERM -> expire(h) }
    /* Receive the fence, or lose the lease: discard everything from the first owner. */
    :: d_step { dead && !cut_off[h] ->
            cut_off[h] = true;
#ifndef MUTANT_NO_DROP_ON_FENCE
            expire(h);
#endif
            request[h] = 0; answered[h] = false; response[h] = 0; asked_for[h] = 0 }
    /* Receive the response; its age counts from the request. */
    :: d_step { answered[h] ->
            answered[h] = false;
            request[h] = 0;
            held[h] = response[h];
#ifdef MUTANT_TERM_FROM_RECEIPT
            held_for[h] = 0;
#else
            held_for[h] = asked_for[h];
#endif
            response[h] = 0;
            asked_for[h] = 0 }
    /* Lose the request or the response, or crash. */
    :: d_step { request[h] -> request[h] = 0; answered[h] = false; response[h] = 0; asked_for[h] = 0 }
    :: d_step { held[h] > 0 -> expire(h) }
    od
}

/* The owner is process 0 and the successor process 1 of the same code; the successor serves once it issues. */
proctype owner(byte o) {
    byte h;
end:
    do
    :: atomic { ((o == 0 && !dead) || (o == 1 && issuing)) ->
            if
            :: h = 0
            :: h = 1
            fi;
            if
            /* Respond to a request: debit before credit. */
            :: request[h] && !answered[h] && bucket[o] > 0 && booked[h] == 0 ->
                response[h] = 1;
#ifndef MUTANT_CREDIT_WITHOUT_DEBIT
                bucket[o]--;
#endif
                booked[h] = 1;
                booked_for[h] = 0;
                answered[h] = true
            /* The term has certainly ended: the share returns empty and refills at the plan's rate, once in this model. */
            :: booked[h] > 0 && booked_for[h] >= EXPIRED ->
                booked[h] = 0;
                booked_for[h] = 0;
                if
                :: refilled == 0 -> bucket[o]++; refilled++
                :: else
                fi
            /* Use a token for a local request. */
            :: bucket[o] > 0 -> bucket[o]--; used++
            :: else
            fi;
            h = 0 }
    od
}

/* Succession: all grants of the first owner are void, and the level starts at 0. */
proctype succession() {
    d_step { !dead -> dead = true; bucket[0] = 0; booked[0] = 0; booked[1] = 0; booked_for[0] = 0; booked_for[1] = 0 }
    d_step {
#ifdef MUTANT_NO_FENCE_WAIT
        true ->
#else
        cut_off[0] && cut_off[1] ->
#endif
        issuing = true; bucket[1] = LEVEL; refilled = refilled + LEVEL }
}

proctype ticks() {
    byte h;
end:
    do
    :: d_step {
            h = 0;
            do
            :: h < 2 ->
                if
                :: request[h] && asked_for[h] < EXPIRED -> asked_for[h]++
                :: else
                fi;
                if
                :: held[h] > 0 && held_for[h] < EXPIRED -> held_for[h]++
                :: else
                fi;
                if
                :: booked[h] > 0 && booked_for[h] < EXPIRED -> booked_for[h]++
                :: else
                fi;
                h++
            :: else -> break
            od;
            h = 0
        }
    od
}

/* Tokens usable at the same time stay within LEVEL, and the total within the amount that the plan allowed. */
#define USABLE(h) ((held_for[h] < TERM) -> held[h] : 0)

proctype monitor() {
end:
    d_step { bucket[0] + bucket[1] + USABLE(0) + USABLE(1) > LEVEL || used > LEVEL + refilled -> assert(false) }
}

init {
    atomic {
        bucket[0] = LEVEL;
        run holder(0);
        run holder(1);
        run owner(0);
        run owner(1);
        run succession();
        run ticks();
        run monitor()
    }
}

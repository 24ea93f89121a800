/*
 * A non-idempotent request under one key that names its issuer.
 *
 * The caller submits through the issuer or a relaying instance and retries at other instances, at most TRIES times. Only
 * the issuer runs the request; its register is lost when it crashes, and it restarts as a new incarnation with an empty
 * register and another secret. Every message can be lost or delayed, and messages in flight survive the crash.
 */
#ifndef TRIES
#define TRIES 3
#endif
#define NONE 0
/* Outcomes that the caller observes. */
#define NOT_RUN 1
#define UNKNOWN 2
#define RAN 3

byte runs;           /* times that the target ran the request */
bool running;        /* state of the register at the incarnation that issued the key */
bool answered;
byte incarnation;    /* of the process at the issuer's address; the key names 0 */
byte submitted;      /* submissions so far */
byte via[TRIES];     /* 0 not sent, 1 to the issuer directly, 2 through a relay, 3 at the issuer's address, 4 done */
byte outcome[TRIES]; /* response in flight or received */

/* The process at the issuer's address handles submission n. A second one waits for the response of the first. */
inline serve(n) {
    if
#ifndef MUTANT_ANY_INCARNATION
    :: incarnation != 0 -> outcome[n] = UNKNOWN
#endif
    :: else ->
        if
#ifndef MUTANT_NO_REGISTER
        :: answered -> outcome[n] = RAN
#endif
        :: else -> running = true; runs++
        fi
    fi;
    via[n] = 4
}

proctype caller() {
end:
    do
    :: d_step { submitted < TRIES -> via[submitted] = 1; submitted++ }
    :: d_step { submitted < TRIES -> via[submitted] = 2; submitted++ }
    od
}

proctype submission(byte n) {
end:
    do
    /* A direct submission arrives at the issuer's address. */
    :: d_step { via[n] == 1 -> via[n] = 3 }
    /* A relay forwards to the issuer. */
    :: d_step { via[n] == 2 -> via[n] = 3 }
#ifdef MUTANT_RELAY_RETRIES
    /* The relay runs the request itself when the issuer does not respond. */
    :: d_step { via[n] == 2 -> runs++; outcome[n] = RAN; via[n] = 4 }
#endif
    :: d_step { via[n] == 3 && (!running || answered) -> serve(n) }
    /* Lose the submission or its response. A relay that cannot connect correctly reports that the request did not run. */
    :: d_step { via[n] == 1 || via[n] == 3 -> via[n] = 4; outcome[n] = UNKNOWN }
    :: d_step { via[n] == 2 -> via[n] = 4; outcome[n] = NOT_RUN }
    :: d_step { via[n] == 4 && outcome[n] != NONE -> outcome[n] = NONE }
    od
}

/* The target's response reaches the issuer, or is lost with the issuer. */
proctype issuer() {
end:
    do
    :: d_step { incarnation == 0 && running && !answered -> answered = true }
    :: d_step { incarnation == 0 -> incarnation = 1; running = false; answered = false }
    od
}

proctype monitor() {
end:
    d_step { runs > 1 -> assert(false) }
}

init {
    byte n = 0;
    atomic {
        run caller();
        run issuer();
        run monitor();
        do
        :: n < TRIES -> run submission(n); n++
        :: else -> break
        od
    }
}

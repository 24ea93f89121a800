/*
 * Fold of the configuration stream by two readers.
 *
 * The log contains edits of one key and one plan. Concurrent operators base their edits on any earlier offset, and any
 * earlier edit may be appended again, as after a lost response. Appends do not depend on readers, so the model first fills
 * the log in every possible way. Records then expire at any time. A reader starts from the records, a snapshot or its peer.
 * Reader 0 writes snapshots, possibly long after it took them, and reader 1 restarts once.
 *
 * Checked: readers with the same applied offset have the same state (AGREE), a running reader never reverts to an earlier
 * offset and a revoked key never becomes valid again (REVERT), a plan is replaced only at the revision that its editor read
 * (LOST_UPDATE), and a restarted reader does not serve before it has applied all accepted records (SERVE).
 *
 * Each MUTANT_* macro removes one rule. The checker must find an error in every mutant.
 */

#define RECORDS 4
#define CREATE_KEY 1
#define REVOKE_KEY 2
#define PUT_PLAN_A 3
#define PUT_PLAN_B 4

typedef Folded {
    byte applied;
    byte seen;      /* bit set of edit ids with a verdict */
    byte revision;  /* of the plan */
    byte plan;
    bit key;
    bit revoked
};

byte logEdit[RECORDS];
byte logRevision[RECORDS];
byte logEnd = 0;
byte logFirst = 0;

Folded history[RECORDS + 1];  /* state at each offset, folded at the append */
Folded reader[2];
Folded snapshot;              /* newest complete snapshot; applied is 0 if there is none */
bit serving[2];
bit restarted = 0;
byte accepted = 0;

inline copyState(to, from) {
    to.applied = from.applied;
    to.seen = from.seen;
    to.revision = from.revision;
    to.plan = from.plan;
    to.key = from.key;
    to.revoked = from.revoked
}

inline fold(state, edit, expected) {
    if
#ifndef MUTANT_NO_DUPLICATE_CHECK
    :: (state.seen & (1 << edit)) -> skip
#endif
    :: else ->
        state.seen = state.seen | (1 << edit);
        if
        :: edit == CREATE_KEY && !state.key -> state.key = 1
        :: edit == REVOKE_KEY -> state.key = 0; state.revoked = 1
#ifndef MUTANT_NO_REVISION_CHECK
        :: (edit == PUT_PLAN_A || edit == PUT_PLAN_B) && state.revision == expected ->
#else
        :: (edit == PUT_PLAN_A || edit == PUT_PLAN_B) ->
#endif
            assert(state.revision == expected);  /* LOST_UPDATE */
            state.plan = edit;
            state.revision = state.applied + 1
        :: else -> skip
        fi
    fi;
    state.applied++
}

inline append(edit, expected) {
    logEdit[logEnd] = edit;
    logRevision[logEnd] = expected;
    copyState(history[logEnd + 1], history[logEnd]);
    fold(history[logEnd + 1], edit, expected);
    logEnd++
}

inline checkReader(r) {
    assert(reader[r].plan == history[reader[r].applied].plan
        && reader[r].revision == history[reader[r].applied].revision
        && reader[r].key == history[reader[r].applied].key);  /* AGREE */
    assert(!(reader[r].key && reader[r].revoked));  /* REVERT */
    if
    :: reader[0].applied >= reader[1].applied && reader[1].applied > accepted -> accepted = reader[1].applied
    :: reader[1].applied > reader[0].applied && reader[0].applied > accepted -> accepted = reader[0].applied
    :: else -> skip
    fi
}

inline appendPut(edit) {
    /* The editor read the log up to any earlier offset. */
    index = 0;
    do
    :: index < logEnd -> index++
    :: break
    od;
    append(edit, history[index].revision);
    appended = appended | (1 << edit)
}

inline fillLog() {
    do
    :: logEnd < RECORDS && !(appended & (1 << CREATE_KEY)) ->
        append(CREATE_KEY, 0);
        appended = appended | (1 << CREATE_KEY)
    :: logEnd < RECORDS && (appended & (1 << CREATE_KEY)) && !(appended & (1 << REVOKE_KEY)) ->
        append(REVOKE_KEY, 0);
        appended = appended | (1 << REVOKE_KEY)
    :: logEnd < RECORDS && !(appended & (1 << PUT_PLAN_A)) -> appendPut(PUT_PLAN_A)
    :: logEnd < RECORDS && !(appended & (1 << PUT_PLAN_B)) -> appendPut(PUT_PLAN_B)
    :: logEnd < RECORDS && logEnd > 0 ->
        /* A second copy of any edit. */
        index = 0;
        do
        :: index < logEnd - 1 -> index++
        :: break
        od;
        append(logEdit[index], logRevision[index])
    :: logEnd == RECORDS -> break
    od;
    index = 0;
    appended = 0
}

proctype Retention() {
    do
    :: atomic { logFirst < logEnd -> logFirst++ }
    od
}

proctype Reader(byte r) {
    Folded taken;
    byte before;
    do
    :: atomic {  /* next record of the log */
        reader[r].applied >= logFirst && reader[r].applied < logEnd ->
        fold(reader[r], logEdit[reader[r].applied], logRevision[reader[r].applied]);
        checkReader(r)
    }
#ifdef MUTANT_SKIP_EXPIRED
    :: atomic { reader[r].applied < logFirst -> reader[r].applied = logFirst; checkReader(r) }
#endif
    :: atomic {  /* snapshot of the log */
#ifndef MUTANT_INSTALL_OLDER
        snapshot.applied > reader[r].applied ->
#else
        snapshot.applied > 0 ->
#endif
        before = reader[r].applied;
        copyState(reader[r], snapshot);
        assert(reader[r].applied >= before);  /* REVERT */
        before = 0;
        checkReader(r)
    }
    :: atomic {  /* records or snapshot of the peer */
        reader[1 - r].applied > reader[r].applied ->
        copyState(reader[r], reader[1 - r]);
        checkReader(r)
    }
    :: atomic { r == 0 && taken.applied == 0 && reader[r].applied > 0 -> copyState(taken, reader[r]) }
    :: atomic {  /* completion of a snapshot that was taken earlier */
        taken.applied > 0 ->
        copyState(snapshot, taken);
#ifdef MUTANT_SNAPSHOT_WITHOUT_IDS
        snapshot.seen = 0;
#endif
        taken.applied = 0; taken.seen = 0; taken.revision = 0; taken.plan = 0; taken.key = 0; taken.revoked = 0
    }
    :: atomic {  /* restart without any state */
        r == 1 && !restarted ->
        restarted = 1;
        serving[r] = 0;
        reader[r].applied = 0; reader[r].seen = 0; reader[r].revision = 0;
        reader[r].plan = 0; reader[r].key = 0; reader[r].revoked = 0
    }
    :: atomic {
#ifndef MUTANT_SERVE_EARLY
        !serving[r] && reader[r].applied >= reader[1 - r].applied -> serving[r] = 1
#else
        !serving[r] -> serving[r] = 1
#endif
    }
    :: atomic { serving[r] -> assert(reader[r].applied >= accepted) }  /* SERVE */
    od
}

init {
    byte index;
    byte appended;
    atomic {
        fillLog();
        serving[0] = 1;
        serving[1] = 1;
        run Retention();
        run Reader(0);
        run Reader(1)
    }
}

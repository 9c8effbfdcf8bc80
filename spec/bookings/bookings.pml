/* Calls with one idempotency key: each request reserves the key in a bucket object by a conditional update,
 * sends the call, and then writes the result of the call or releases the key.
 *
 * Three requests, each with a token of its own, use the key at two daemons. Each request can pause at any step
 * (the scheduler does not run it) and can crash. A write to the store is rejected, conflicts, takes effect with
 * or without a response, is lost, or is delayed in the network and arrives at any later time. Once a reservation was
 * handed to the process Owner, Owner may write it at any later time, also after the request was abandoned.
 *
 * Each macro NO_... removes one rule; SPIN must then report a violation.
 */

#define REQUESTS 3
#define NONE 255
#define MAX_WRITES 4 /* the maximum number of changes of the bucket object */
/* The maximum number of writes that a request starts. Only one request writes a second time, which keeps the
 * state space small. */
#define MAX_TRIES(token) (token == 0 -> 2 : 1)

byte holder = NONE;  /* the token in the record of the key, NONE if there is no record */
bool result = false; /* the record has a result */
bool hash = false;   /* the record of the key has expired and only its hash remains */
byte version = 0;    /* the version of the bucket object */

byte runs = 0; /* the number of runs of the call at backend servers */
bool ranBy[REQUESTS];
bool notRun[REQUESTS]; /* the request was rejected as NotRun */

bool asked[REQUESTS]; /* the reservation was handed to Owner */

/* A write of a reservation that is delayed in the network. */
bool late = false;
byte lateVersion;
byte lateToken;

inline change(token) {
	holder = token;
	version++
}

/* Invariant 7: the call runs at most once. Invariant 6: a request rejected as NotRun does not run. */
inline runCall() {
	runs++;
	ranBy[me] = true;
	assert(runs <= 1);
	assert(!notRun[me])
}

inline rejectAsNotRun() {
	notRun[me] = true;
	assert(!ranBy[me])
}

active proctype Network() {
end:
	do
	:: atomic { late ->
		late = false;
		if
#ifdef NO_CONDITION
		:: version < MAX_WRITES -> change(lateToken)
#else
		:: lateVersion == version && version < MAX_WRITES -> change(lateToken)
#endif
		:: else -> skip
		fi;
		lateVersion = 0; lateToken = 0 }
	od
}

active proctype Owner() {
	byte seen;
	byte who;
	bool free;
end:
	do
	:: atomic {
		if
		:: asked[0] -> who = 0
		:: asked[1] -> who = 1
		:: asked[2] -> who = 2
		fi;
		asked[who] = false;
		seen = version;
		free = (holder == NONE && !hash)
	   }
		/* Owner may pause between its read and its write. */
		atomic {
			if
#ifdef NO_CONDITION
			:: free && version < MAX_WRITES -> change(who)
#else
			:: free && seen == version && version < MAX_WRITES -> change(who)
#endif
			:: else -> skip
			fi;
			seen = 0; who = 0; free = false
		}
	od
}

/* After 24 hours a record is replaced by its hash, whether or not it has a result. */
active proctype Expiry() {
end:
	atomic { holder != NONE && version < MAX_WRITES ->
		change(NONE);
		result = false;
#ifndef NO_HASH
		hash = true
#endif
	}
}

proctype Request(byte me) {
	byte seen;
	bool free;
	bool mine;
	byte tries = 0;

read:
	if
	:: atomic { seen = version; free = (holder == NONE && !hash); mine = (holder == me) }
	:: goto abandon /* the platform is unavailable, or the deadline has passed */
	:: goto crashed
	fi;
	if
	:: mine -> goto reserved
#ifdef NO_UNKNOWN
	/* A record without a result counts as abandoned, and this request takes it over. */
	:: !mine && !free && !result && !hash -> skip
	:: !mine && !free && (result || hash) -> goto done
#else
	:: !mine && !free -> goto done /* gets the stored response, or the outcome Unknown */
#endif
	:: !mine && free -> skip
	fi;
	if
	:: tries == MAX_TRIES(me) -> goto abandon
	:: else -> tries++
	fi;
	asked[me] = true;
	if
#ifdef NO_CONDITION
	:: atomic { version < MAX_WRITES -> change(me) }; goto reserved
#else
	:: atomic { seen == version && version < MAX_WRITES -> change(me) }; goto reserved
	:: seen != version -> goto read
#endif
	:: atomic { seen == version && version < MAX_WRITES -> change(me) }; goto lost
	:: atomic { !late -> late = true; lateVersion = seen; lateToken = me }; goto lost
	:: goto lost    /* the write never arrives */
	:: goto abandon /* the platform rejects the write */
	:: goto crashed
	fi;

lost:
#ifdef NO_READ_BACK
	goto reserved;
#else
	goto read;
#endif

reserved:
	/* The request can pause between reservation and send. During this pause only the record protects the key. */
	if
	:: skip
	:: goto abandon /* no backend server was reached, or the deadline passed; no byte was sent */
	:: goto crashed
	fi;
	/* From here on a byte may have been sent. */
	if
	:: atomic { runCall() }
	:: skip /* the call does not arrive */
	fi;
	if
	:: atomic { holder == me && version < MAX_WRITES -> result = true; version++ }
	:: skip /* the result cannot be written; the record stays without a result */
	:: skip /* no response; the outcome is unknown and the record stays */
#ifdef NO_KEEP
		; goto release
#endif
	fi;
	goto done;

abandon:
	/* No byte of this request was sent. It is rejected as NotRun, and its record is released if there is one. */
	atomic { rejectAsNotRun() };
#ifdef NO_GATE
	/* Without the gate the writer of the connection can send the call after the response. */
	if
	:: atomic { holder == me -> runCall() }
	:: skip
	fi;
#endif
release:
	if
#ifdef NO_TOKEN
	:: atomic { holder != NONE && version < MAX_WRITES -> change(NONE); result = false }
#else
	:: atomic { holder == me && !result && version < MAX_WRITES -> change(NONE) }
#endif
	:: skip
	fi;

crashed:
done:
	atomic { seen = 0; free = false; mine = false; tries = 0 }
}

init {
	atomic {
		run Request(0);
		run Request(1);
		run Request(2)
	}
}

/* Calls of one idempotency key: requests reserve the key in a bucket object by conditional update, send
 * the call, and write its result or release the key.
 *
 * Three requests with their own tokens carry the key, at two daemons; any of them can pause at every step
 * (the scheduler leaves it alone) and can crash. A write of the store is refused, conflicts, takes effect
 * with or without a response, is lost, or stays in the network and arrives at any later time. Owner makes
 * the write of a reservation that was handed to it, whenever it likes, also after the request gave up.
 *
 * Each macro NO_... removes one rule; the check must then report a violation.
 */

#define REQUESTS 3
#define NONE 255
#define MAX_WRITES 4 /* bounds the changes of the object */
/* Bounds the writes that one request begins; one request writes again, to keep the state space small. */
#define MAX_TRIES(token) (token == 0 -> 2 : 1)

byte holder = NONE;  /* token of the record, NONE if there is no record */
bool result = false; /* the record has a result */
bool hash = false;   /* the key's record has expired and its hash remains */
byte version = 0;    /* version of the bucket object */

byte runs = 0; /* runs of the key's call at backend servers */
bool ranBy[REQUESTS];
bool notRun[REQUESTS]; /* the request was rejected as not run */

bool asked[REQUESTS]; /* the reservation was handed to the owner */

/* A write of a reservation that is still in the network. */
bool late = false;
byte lateVersion;
byte lateToken;

inline change(token) {
	holder = token;
	version++
}

/* Invariant 7: the call runs at most once. Invariant 6: a request answered as not run does not run. */
inline runCall() {
	runs++;
	ranBy[me] = true;
	assert(runs <= 1);
	assert(!notRun[me])
}

inline answerNotRun() {
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
		/* The owner may pause between its read and its write. */
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

/* After 24 hours a record becomes a hash, with or without result. */
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
	:: goto abandon /* the platform is out, or the deadline has passed */
	:: goto crashed
	fi;
	if
	:: mine -> goto reserved
#ifdef NO_UNKNOWN
	/* A record without result counts as abandoned and is taken over. */
	:: !mine && !free && !result && !hash -> skip
	:: !mine && !free && (result || hash) -> goto done
#else
	:: !mine && !free -> goto done /* stored response, or outcome unknown */
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
	:: goto abandon /* the platform refuses the write */
	:: goto crashed
	fi;

lost:
#ifdef NO_READ_BACK
	goto reserved;
#else
	goto read;
#endif

reserved:
	/* A pause between reservation and send is here; only the record guards the key meanwhile. */
	if
	:: skip
	:: goto abandon /* no backend server was reached, or the deadline passed: no byte was sent */
	:: goto crashed
	fi;
	/* From here on a byte may have been sent. */
	if
	:: atomic { runCall() }
	:: skip /* the call does not arrive */
	fi;
	if
	:: atomic { holder == me && version < MAX_WRITES -> result = true; version++ }
	:: skip /* the result cannot be written: the record stays without it */
	:: skip /* no response: the outcome is unknown and the record stays */
#ifdef NO_KEEP
		; goto release
#endif
	fi;
	goto done;

abandon:
	/* No byte of this request was sent. It is answered, and its record is released if there is one. */
	atomic { answerNotRun() };
#ifdef NO_GATE
	/* The connection's writer is not held back, and sends the call after the answer. */
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

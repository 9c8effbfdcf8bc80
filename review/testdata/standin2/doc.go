// Command standin2 plays the cases of the second review: it starts daemons as processes of their own with the command of the deploy
// file, between stand-ins of the platform, of runners and of clients in this process, and checks one rule from what these have seen.
package main

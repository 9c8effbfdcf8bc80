package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cumintally/cumintally/internal/verb"
)

func main() {
	if err := verb.New().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "cumintally:", err)
		os.Exit(1)
	}
}

// Command cumintally serves large language models whose replicas span several VMs.
package main

/**
 * Whether service fell when a version went live: {@link sprucehold.change.watch.ServiceWatch}, a
 * sequential test with a stated rate of false alarms. Pure: slots of service in, a word out.
 */
package sprucehold.change.watch;

/** Notifies other processes of newly accepted revisions. */
export abstract class RevisionPublisher {
	/** Called with each committed revision as soon as this control process knows of it. */
	abstract publish(revision: number): void;
}
